/** What became of a configuration that an operator sent. */
export enum ConfigurationOutcome {
    InForce = "in-force",
    /** It was already the one in force. */
    Repeated = "repeated",
    /** A higher version is in force; nothing changed. */
    Overtaken = "overtaken",
}
