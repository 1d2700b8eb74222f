/** Time for which a keeper that has not answered counts as silent, milliseconds; then it is worth asking again. */
const timeoutValidityMs = 1_000;
/** Time of refused connections after which a keeper counts as silent: longer than a process takes to be started again. */
const refusalGracePeriodMs = 900;

/**
 * Remembers which keepers answer. Answers a partition: whoever can't hear most keepers can't reach a leader either, as a
 * leader needs a majority, and should say so at once. Whoever hears most of them only waits for an election to end.
 */
export class KeeperReachability {
    /** When a keeper was last found silent, monotonic milliseconds. */
    private readonly timedOutAt = new Map<string, number>();
    /** Since when a keeper has refused every connection, monotonic milliseconds. */
    private readonly refusedSince = new Map<string, number>();

    /**
     * @param keepers - addresses of the keepers that are known at first
     */
    constructor(private keepers: readonly string[]) {}

    /**
     * Sets which keepers there are.
     * @param keepers - their addresses
     */
    setKeepers(keepers: readonly string[]): void {
        this.keepers = keepers;
        [...this.timedOutAt.keys(), ...this.refusedSince.keys()].filter(keeper => !keepers.includes(keeper))
            .forEach(keeper => this.recordResponse(keeper));
    }

    /**
     * Notes that a keeper is there, whatever it said.
     * @param keeper - its address
     */
    recordResponse(keeper: string): void {
        this.timedOutAt.delete(keeper);
        this.refusedSince.delete(keeper);
    }

    /**
     * Notes that a keeper refused a connection or broke it off. Its process may be being restarted; when that goes on, a
     * partition that refuses connections is likelier.
     * @param keeper - its address
     * @param now - monotonic milliseconds
     */
    recordConnectionRefused(keeper: string, now: number): void {
        const since = this.refusedSince.get(keeper) ?? now;
        if (now - since >= refusalGracePeriodMs) {
            this.recordTimeout(keeper, now);
        }
        else {
            this.timedOutAt.delete(keeper);
        }
        this.refusedSince.set(keeper, since);
    }

    /**
     * Notes that nothing came from a keeper in time.
     * @param keeper - its address
     * @param now - monotonic milliseconds
     */
    recordTimeout(keeper: string, now: number): void {
        if (this.keepers.includes(keeper)) {
            this.timedOutAt.set(keeper, now);
        }
    }

    /**
     * Tells whether most keepers are silent.
     * @param now - monotonic milliseconds
     * @returns true when no leader can be reached from here
     */
    isQuorumUnreachable(now: number): boolean {
        const silent = [...this.timedOutAt.values()].filter(at => now - at < timeoutValidityMs).length;
        return silent > this.keepers.length / 2;
    }
}
