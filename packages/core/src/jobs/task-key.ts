/** Identifies one task of a job. */
export interface TaskKey {
    /** Id of the job. */
    readonly job: string;
    /** Index of the occurrence; 0 for a job that runs once. */
    readonly occurrence: number;
    /** Position of the step in the job. */
    readonly step: number;
    /** Index of the task in the step. */
    readonly index: number;
}
