/** A pool of the simulated fleet. */
export interface SimulatedPool {
    readonly name: string;
    readonly vms: number;
    readonly isSpare: boolean;
    /** Number of long-running tasks; at most two run on one VM. */
    readonly longRunning: number;
    /** CPU of one of its VMs, thousandths of a core; 32 cores by default. */
    readonly vmCpu?: number;
}
