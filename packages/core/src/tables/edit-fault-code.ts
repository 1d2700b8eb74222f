/** Code of a validation error of an edit. */
export enum EditFaultCode {
    UnknownTeam = "unknown-team",
    UnknownPool = "unknown-pool",
    /** The object to be removed is referenced by another one. */
    InUse = "in-use",
    /** The object to be removed does not exist. */
    NotFound = "not-found",
    InvalidName = "invalid-name",
    InvalidValue = "invalid-value",
}
