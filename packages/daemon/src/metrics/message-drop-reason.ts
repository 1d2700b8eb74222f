/** Why a keeper dropped messages of the replicated log; the value of a metric label. */
export enum MessageDropReason {
    /** The mailbox of the receiving keeper is full, or closed as it stops. */
    Mailbox = "mailbox",
    /** Too many batches to the receiver are in flight. */
    InFlight = "in-flight",
}
