import type { Dispatch } from "@daisylock/core/admission/dispatch.js";
import type { Refusal } from "@daisylock/core/admission/refusal.js";
import type Result from "true-myth/result";

/** Immediate or pending decision on a request for a slot. */
export interface SlotWait {
    /** The decision, if it was made at once; `undefined` while the request waits. */
    readonly immediate?: Result<Dispatch, Refusal> | undefined;
    /** Resolves to the started request or the refusal; never rejects. */
    readonly decision: Promise<Result<Dispatch, Refusal>>;
    /** Cancels the wait; the decision is then a refusal, unless the request has already started. */
    readonly cancel: () => void;
}
