/** Resource usage of an idle process. */
export interface RoleCost {
    readonly name: string;
    /** Role of the process, with its keeper's Raft role if it has a keeper. */
    readonly role: string;
    /** Percent of one core. */
    readonly cpuPercent: number;
    /** Memory of the process, MiB. */
    readonly memoryMb: number;
    /** Mean traffic between zones per process, bytes per second. */
    readonly bytesPerSecond: number;
}
