/** The newest request for a VM, recorded before it is sent to the platform. */
export interface VmRequestRecord {
    /** Fencing token of the leader that made it. */
    readonly token: number;
    /** Name of the process that made it. */
    readonly holder: string;
    /** Wall clock of that process, milliseconds. */
    readonly atMs: number;
}
