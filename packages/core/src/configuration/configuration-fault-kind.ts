/** Kinds of validation errors of a configuration. */
export enum ConfigurationFaultKind {
    UnknownPool = "unknown-pool",
    DuplicateHostAndPrefix = "same-host-and-prefix",
    ZeroTimeout = "timeout-is-zero",
    DuplicateKey = "key-of-two-accounts",
    DuplicateName = "name-used-twice",
    NumberOutOfRange = "number-out-of-range",
    InvalidVersion = "version-is-no-positive-whole-number",
}
