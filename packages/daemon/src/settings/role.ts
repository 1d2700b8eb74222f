/** What a process does. */
export enum Role {
    /** Takes requests and forwards them to targets. */
    Entry = "entry",
    /** Keeps the replicated state. */
    Keeper = "keeper",
}
