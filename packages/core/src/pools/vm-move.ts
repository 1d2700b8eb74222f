/** A VM that is to move to another pool. */
export interface VmMove {
    readonly vm: string;
    readonly from: string;
    readonly to: string;
}
