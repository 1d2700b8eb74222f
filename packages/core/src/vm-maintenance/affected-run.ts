/** A run on a VM that is due for maintenance. */
export interface AffectedRun {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly isLongRunning: boolean;
    readonly hasCheckpoints: boolean;
    /** Whether it is long-running and may be stopped now, as few enough other tasks of its step are unavailable. */
    readonly isDispensable: boolean;
    /** Whether all tasks of its step on the VM may be unavailable at once. */
    readonly isRemovable: boolean;
    /** Whether its stop has been requested. */
    readonly isStopping: boolean;
}
