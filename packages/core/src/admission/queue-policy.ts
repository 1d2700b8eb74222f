/** Which team's request starts next. */
export enum QueuePolicy {
    /** The team with the least slot time for its share. */
    Shares = "shares",
    /** The request that came first; a baseline for experiments. */
    FirstCome = "first-come",
}
