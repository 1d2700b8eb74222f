/** Part of the demand of a job: what one of its steps requests while it runs, if nothing waits. */
export interface DemandStage {
    /** Begin and end relative to the arrival of the job, milliseconds. */
    readonly fromMs: number;
    readonly toMs: number;
    /** Thousandths of a core. */
    readonly cpu: number;
}
