/** Run of one request on a fake target. */
export interface TargetRun {
    readonly vm: string;
    readonly requestId: string;
    readonly dispatchId: string;
    readonly team: string;
    /** Start time, milliseconds on the monotonic clock of the bench process (`performance.now()`). */
    readonly startedAt: number;
    /** End time on the same clock; `undefined` while the request runs. */
    endedAt: number | undefined;
}
