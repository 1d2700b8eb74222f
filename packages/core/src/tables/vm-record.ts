/** Location and pool of a VM. */
export interface VmRecord {
    readonly pool: string;
    readonly zone: string;
    readonly rack: string;
}
