/** Time as the daemon sees it; tests inject their own. */
export abstract class Clock {
    /**
     * Reads a clock that never goes back.
     * @returns milliseconds
     */
    abstract readMonotonic(): number;

    /**
     * Reads the wall clock, which is used for people and retention only.
     * @returns milliseconds since 1970
     */
    abstract readWall(): number;

    /**
     * Runs a callback later.
     * @param delayMs - milliseconds from now
     * @param callback - the callback
     * @returns cancels the callback
     */
    abstract schedule(delayMs: number, callback: () => void): () => void;
}
