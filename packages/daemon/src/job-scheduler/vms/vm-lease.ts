/** Lease under which a request to the VM service is sent. */
export interface VmLease {
    readonly holder: string;
    readonly fencingToken: number;
}
