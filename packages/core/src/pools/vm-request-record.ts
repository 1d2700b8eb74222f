/** The newest order about a VM that was recorded before it was given to the platform. */
export interface VmRequestRecord {
    /** Fencing token of the leadership that gave it. */
    readonly token: number;
    /** Name of the process that gave it. */
    readonly holder: string;
    /** Wall clock of that process, milliseconds. */
    readonly atMs: number;
}
