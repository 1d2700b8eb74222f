/** Result of applying a configuration that an operator sent. */
export enum ConfigurationOutcome {
    Applied = "in-force",
    /** It was already the active configuration. */
    AlreadyApplied = "repeated",
    /** A higher version, or the same version with other content, is active; nothing changed. */
    Superseded = "overtaken",
}
