import type { DispatchState } from "./dispatch-state.js";
import type { RecordedResponse } from "./recorded-response.js";

/** The claim of an unrepeatable request and its outcome. */
export interface DispatchRecord {
    /** Id of the attempt that holds the claim. */
    readonly attempt: string;
    /** Fingerprint from the claim, which detects a request id that is reused for different content. */
    readonly fingerprint: string;
    readonly state: DispatchState;
    /** Wall clock of the claim, milliseconds. */
    readonly at: number;
    /** Response of the target; `undefined` until it is recorded. */
    readonly answer?: RecordedResponse | undefined;
}
