/** Why a configuration is invalid. */
export enum ConfigurationFaultKind {
    UnknownPool = "unknown-pool",
    SamePlace = "same-host-and-prefix",
    NoTimeout = "timeout-is-zero",
    SharedKey = "key-of-two-accounts",
    SameName = "name-used-twice",
    BadVersion = "version-is-no-positive-whole-number",
}
