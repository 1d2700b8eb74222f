/** A pool of the played fleet. */
export interface SimulatedPool {
    readonly name: string;
    readonly vms: number;
    readonly isSpare: boolean;
    /** Long-running tasks, two a VM at most. */
    readonly longRunning: number;
}
