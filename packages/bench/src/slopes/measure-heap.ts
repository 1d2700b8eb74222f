/**
 * Measures the heap that a value keeps. Needs the flag --expose-gc.
 * @param build - builds the value
 * @returns bytes
 */
export function measureHeap(build: () => unknown): number {
    globalThis.gc?.();
    const before = process.memoryUsage().heapUsed;
    const value = build();
    globalThis.gc?.();
    const bytes = process.memoryUsage().heapUsed - before;
    // Keeps the value alive until after the second reading.
    return value === undefined ? 0 : bytes;
}
