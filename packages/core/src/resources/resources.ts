/** An amount of what a target offers and a task takes. */
export interface Resources {
    /** Thousandths of a core. */
    readonly cpu: number;
    /** Megabytes. */
    readonly memory: number;
    /** Whole accelerators. */
    readonly gpu: number;
}
