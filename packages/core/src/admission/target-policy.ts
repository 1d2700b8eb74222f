/** Which target a request goes to. */
export enum TargetPolicy {
    /** The one with the largest free part, in the entry's own zone if possible. */
    LeastLoaded = "least-loaded",
    /** One after the other, whatever its health; a baseline for experiments. */
    RoundRobin = "round-robin",
}
