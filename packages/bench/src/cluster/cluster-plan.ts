/** A process of a fleet on one machine. */
interface PlannedProcess {
    readonly name: string;
    readonly zone: string;
    readonly isKeeper: boolean;
    readonly callers: string;
    readonly targets: string;
    readonly operators: string;
    readonly peers: string;
}

/** The processes of a fleet and their addresses. */
export interface ClusterPlan {
    readonly processes: readonly PlannedProcess[];
    /** First port that the plan leaves free. */
    readonly nextPort: number;
}
