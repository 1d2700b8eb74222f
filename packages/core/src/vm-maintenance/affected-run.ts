/** A run on a VM that is to be maintained. */
export interface AffectedRun {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly isLongRunning: boolean;
    readonly hasCheckpoints: boolean;
    /** Whether its step can do without it now: few enough others are away, and this one is at work. */
    readonly isDispensable: boolean;
}
