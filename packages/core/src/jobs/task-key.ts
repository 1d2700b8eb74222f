/** Identifies one task of a job. */
export interface TaskKey {
    /** Id of the job. */
    readonly job: string;
    readonly occurrence: number;
    /** Position of the step in the job. */
    readonly step: number;
    /** Index of the task in the step. */
    readonly index: number;
}
