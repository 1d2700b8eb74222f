import type { DispatchState } from "./dispatch-state.js";
import type { RecordedResponse } from "./recorded-response.js";

/** What is remembered of one unrepeatable request. */
export interface DispatchRecord {
    readonly attempt: string;
    readonly fingerprint: string;
    readonly state: DispatchState;
    /** Wall clock of the claim, milliseconds. */
    readonly at: number;
    readonly answer?: RecordedResponse | undefined;
}
