import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import type { Refusal } from "@daisylock/core/admission/refusal.js";
import type Result from "true-myth/result";

/** A request's wait for a slot. */
export interface SlotWait {
    /** The decision, when it is there at once. */
    readonly immediate?: Result<Dispatch, Refusal> | undefined;
    readonly decision: Promise<Result<Dispatch, Refusal>>;
    /** Gives up waiting; the decision is then a refusal unless the request has started. */
    readonly cancel: () => void;
}
