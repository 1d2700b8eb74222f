/** A pool of VMs. */
export interface PoolConfiguration {
    readonly name: string;
    /** Whether its targets themselves refuse tasks that exceed their free capacity. */
    readonly isGuarded: boolean;
    /** Whether its VMs stay powered off until they move to another pool. */
    readonly isSpare: boolean;
}
