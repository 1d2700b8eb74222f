/** Policy by which the next queue is picked. */
export enum QueuePolicy {
    /** Weighted fair queueing: the team with the least slot time in proportion to its share. */
    Shares = "shares",
    /** First come, first served over all teams; a baseline for experiments. */
    FirstCome = "first-come",
}
