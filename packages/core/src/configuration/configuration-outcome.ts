/** What became of a configuration that an operator sent. */
export enum ConfigurationOutcome {
    Applied = "in-force",
    /** It was already the one in force. */
    AlreadyApplied = "repeated",
    /** A higher version is in force; nothing changed. */
    Superseded = "overtaken",
}
