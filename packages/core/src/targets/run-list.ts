/** A run as a target lists it. */
interface ListedRun {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
}

/** The runs that a target lists in one response. */
export interface RunList {
    readonly running: readonly ListedRun[];
    readonly ended: readonly ListedRun[];
    /** Whether `ended` holds all ends that the target has to report; `running` always holds all runs. */
    readonly isComplete: boolean;
    /** When the list was requested, monotonic milliseconds. */
    readonly requestedAt: number;
}
