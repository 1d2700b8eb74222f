/**
 * Throws an error outside of all callers, so that it ends the process with its `process-failed` line.
 * @param error - the error
 */
export function reportUncaught(error: unknown): void {
    queueMicrotask(() => {
        throw error;
    });
}
