/** A VM on which nothing may be running and which may leave its pool. */
export interface IdleVm {
    readonly vm: string;
    /** Home pool: the pool from which it was first moved, or its current pool. It returns there if no pool is spare. */
    readonly home: string;
    /** Thousandths of a core. */
    readonly cpu: number;
}
