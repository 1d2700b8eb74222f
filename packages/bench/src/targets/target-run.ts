/** Run of one request on a fake target. */
export interface TargetRun {
    readonly vm: string;
    readonly requestId: string;
    readonly dispatchId: string;
    readonly team: string;
    /** Milliseconds of the monotonic clock of the bench process. */
    readonly startedAt: number;
    /** On the same clock; `undefined` while the request runs. */
    endedAt: number | undefined;
}
