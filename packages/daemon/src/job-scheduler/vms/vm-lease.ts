/** Under whose lease an order about a VM is given. */
export interface VmLease {
    readonly holder: string;
    readonly fencingToken: number;
}
