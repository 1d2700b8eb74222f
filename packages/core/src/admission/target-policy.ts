/** Policy by which the target of a request is picked. */
export enum TargetPolicy {
    /** The target with the largest fraction of free slots, in the entry's own availability zone if possible. */
    LeastLoaded = "least-loaded",
    /** Targets in rotation regardless of their health; a baseline for experiments. */
    RoundRobin = "round-robin",
}
