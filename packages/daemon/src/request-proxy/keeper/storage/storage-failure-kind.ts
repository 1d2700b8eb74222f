/** Why a keeper's storage cannot be used. */
export enum StorageFailureKind {
    /** A record of a file is damaged other than by a torn write at its end, or log entries are missing. */
    CorruptRecord = "corrupt-record",
    CorruptSnapshot = "corrupt-snapshot",
    CorruptIdentity = "corrupt-identity",
    /** A write or sync failed; the content of the disk is unknown. */
    WriteFailed = "write-failed",
}
