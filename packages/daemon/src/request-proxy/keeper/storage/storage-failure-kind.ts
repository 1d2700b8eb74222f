/** What is wrong with a keeper's disk. */
export enum StorageFailureKind {
    /** A record in the middle of the log is damaged. */
    CorruptRecord = "corrupt-record",
    CorruptSnapshot = "corrupt-snapshot",
    CorruptIdentity = "corrupt-identity",
    /** A write or sync failed; what is on disk is unknown. */
    WriteFailed = "write-failed",
}
