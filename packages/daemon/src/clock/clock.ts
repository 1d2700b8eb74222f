/** Source of time and timers for the daemon. Tests inject a fake implementation. */
export abstract class Clock {
    /**
     * Reads the monotonic clock, which is used for leases, deadlines and intervals.
     * @returns milliseconds since an arbitrary origin
     */
    abstract readMonotonic(): number;

    /**
     * Reads the wall clock, which may jump. It is used for times that are shown, stored or sent to other processes, for
     * retention, and to detect suspensions.
     * @returns milliseconds since 1970
     */
    abstract readWall(): number;

    /**
     * Schedules a callback to run once.
     * @param delayMs - delay in milliseconds
     * @param callback - the function to run
     * @returns a function that cancels the callback
     */
    abstract schedule(delayMs: number, callback: () => void): () => void;
}
