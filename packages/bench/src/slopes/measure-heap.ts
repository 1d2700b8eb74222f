/**
 * Measures the heap memory that a value retains. Requires the flag --expose-gc; without it, garbage is counted too.
 * @param build - builds the value
 * @returns retained heap memory, bytes
 */
export function measureHeap(build: () => unknown): number {
    globalThis.gc?.();
    const bytesBefore = process.memoryUsage().heapUsed;
    const value = build();
    globalThis.gc?.();
    const bytes = process.memoryUsage().heapUsed - bytesBefore;
    // Using the value here keeps it from being collected before the second reading.
    return value === undefined ? 0 : bytes;
}
