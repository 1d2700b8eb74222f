/** A run that keeps a VM from moving to another pool. */
export interface PinningRun {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    /** Id of the target that runs it. */
    readonly target: string;
    /** Thousandths of a core. */
    readonly cpu: number;
    /** Estimated time until it ends, milliseconds; 0 while it is being stopped. */
    readonly remainingMs: number;
    /** Work that a stop throws away, milliseconds. */
    readonly lostMs: number;
    /** Tells whether it may be stopped to run elsewhere; asked for few runs, as it takes longer than the rest. */
    readonly isMovable: () => boolean;
}
