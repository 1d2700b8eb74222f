/** A request that a scenario sends. */
export interface PlannedRequest {
    readonly id: string;
    /** Milliseconds after the start. */
    readonly atMs: number;
    readonly route: string;
    readonly team: string;
    /** Position among the entries. */
    readonly entry: number;
    readonly isUnrepeatable: boolean;
    readonly isUrgent: boolean;
    readonly deadlineMs: number;
}
