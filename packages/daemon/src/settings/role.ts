/** Roles of a process; it may have several. */
export enum Role {
    /** Ingress: accepts requests from clients and forwards them to targets. */
    Entry = "entry",
    /** Control-plane replica: stores the replicated log and may be elected leader. */
    Keeper = "keeper",
}
