/** A VM that is to join another pool. */
export interface VmMove {
    readonly vm: string;
    readonly from: string;
    readonly to: string;
}
