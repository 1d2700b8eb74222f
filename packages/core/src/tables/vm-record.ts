/** Where a VM stands and which pool it belongs to. */
export interface VmRecord {
    readonly pool: string;
    readonly zone: string;
    readonly rack: string;
}
