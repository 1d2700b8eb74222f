/** A VM on which nothing may be running and which may leave its pool. */
export interface IdleVm {
    readonly vm: string;
    /** Home pool: the pool that it returns to when no other pool is short of VMs. */
    readonly home: string;
    /** Thousandths of a core. */
    readonly cpu: number;
}
