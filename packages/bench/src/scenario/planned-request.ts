/** A request that a scenario sends at a planned time. */
export interface PlannedRequest {
    readonly id: string;
    /** Send time, milliseconds after the start of the run. */
    readonly atMs: number;
    readonly route: string;
    readonly team: string;
    /** Index of the entry that receives it, among the processes of the cluster plan. */
    readonly entry: number;
    readonly isUnrepeatable: boolean;
    readonly isUrgent: boolean;
    readonly deadlineMs: number;
}
