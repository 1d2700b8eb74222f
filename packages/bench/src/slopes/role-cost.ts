/** What a process costs at rest. */
export interface RoleCost {
    readonly name: string;
    readonly role: string;
    readonly cpuPercent: number;
    readonly memoryMb: number;
    /** Bytes that cross zones. */
    readonly bytesPerSecond: number;
}
