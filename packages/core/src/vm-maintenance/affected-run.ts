/** A run on a VM that is due for maintenance. */
export interface AffectedRun {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly isLongRunning: boolean;
    readonly hasCheckpoints: boolean;
    /** Whether its step tolerates stopping it now: few enough other tasks are missing, and this one is running. */
    readonly isDispensable: boolean;
}
