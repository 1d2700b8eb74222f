/** How often children may fail before their supervisor gives up. */
export interface RestartPolicy {
    readonly maxRestarts: number;
    /** Period over which restarts are counted, milliseconds. */
    readonly periodMs: number;
    /** Delay before a restart, milliseconds. */
    readonly delayMs: number;
}
