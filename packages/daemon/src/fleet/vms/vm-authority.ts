/** Under whose lease an order about a VM is given. */
export interface VmAuthority {
    readonly holder: string;
    readonly fencingToken: number;
}
