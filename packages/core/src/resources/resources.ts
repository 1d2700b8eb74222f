/** An amount of resources that a target offers or a task needs. */
export interface Resources {
    /** Thousandths of a core. */
    readonly cpu: number;
    /** Megabytes. */
    readonly memory: number;
    /** Number of GPUs, each used as a whole. */
    readonly gpu: number;
}
