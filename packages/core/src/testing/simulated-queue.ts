/** A queue of the played load, with the jobs that it usually gets. */
export interface SimulatedQueue {
    readonly pool: string;
    /** Jobs a second over the whole play. */
    readonly perSecond: number;
    readonly meanSteps: number;
    readonly meanTasks: number;
    readonly meanTaskMs: number;
    /** Thousandths of a core that one task takes. */
    readonly meanCpu: number;
}
