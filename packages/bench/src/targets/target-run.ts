/** One request that a stand-in target ran. */
export interface TargetRun {
    readonly vm: string;
    readonly requestId: string;
    readonly dispatchId: string;
    readonly team: string;
    /** Milliseconds of the bench's clock. */
    readonly startedAt: number;
    endedAt: number | undefined;
}
