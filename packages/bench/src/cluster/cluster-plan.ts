/** A daemon process of a local cluster and the addresses (`host:port`) of its listeners. */
interface PlannedProcess {
    readonly name: string;
    readonly zone: string;
    readonly isKeeper: boolean;
    readonly callers: string;
    readonly targets: string;
    readonly operators: string;
    readonly peers: string;
}

/** The processes of a local cluster and their addresses. */
export interface ClusterPlan {
    readonly processes: readonly PlannedProcess[];
    /** Lowest port above those that the plan assigns. */
    readonly nextPort: number;
}
