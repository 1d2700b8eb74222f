/** A pool of VMs. */
export interface PoolConfiguration {
    readonly name: string;
    /** Whether its targets refuse by themselves what does not fit. */
    readonly isGuarded: boolean;
    /** Whether its VMs are switched off until they move to another pool. */
    readonly isSpare: boolean;
}
