/** What a process costs at rest. */
export interface RoleCost {
    readonly name: string;
    readonly role: string;
    readonly processorPercent: number;
    readonly memoryMb: number;
    /** Bytes that cross zones. */
    readonly bytesPerSecond: number;
}
