/** Why an edit can't be accepted. */
export enum EditFaultCode {
    UnknownTeam = "unknown-team",
    UnknownPool = "unknown-pool",
    InUse = "in-use",
    NotFound = "not-found",
    InvalidName = "invalid-name",
    InvalidValue = "invalid-value",
}
