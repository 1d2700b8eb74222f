/** A queue of the simulated load, with the mean size of its jobs. */
export interface SimulatedQueue {
    readonly pool: string;
    /** Mean rate over the whole simulation, jobs per second. */
    readonly jobsPerSecond: number;
    readonly meanSteps: number;
    readonly meanTasks: number;
    readonly meanTaskMs: number;
    /** Mean CPU of one task, thousandths of a core. */
    readonly meanCpu: number;
}
