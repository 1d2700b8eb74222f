/** Time for which a keeper counts as unreachable after a timeout, milliseconds; after that it is tried again. */
const timeoutValidityMs = 1_000;
/**
 * Time of refused connections after which a keeper counts as unreachable, milliseconds. Longer than the restart of a
 * process takes.
 */
const refusalGracePeriodMs = 900;

/**
 * Tracks which keepers respond, to tell a network partition from an election. A process that cannot reach a majority of
 * the keepers cannot reach a leader either, as a leader needs a majority, and should fail its calls at once. A process
 * that reaches a majority only has to wait for an election to finish.
 */
export class KeeperReachability {
    /** Time of the last timeout by keeper address, monotonic milliseconds. */
    private readonly timedOutAt = new Map<string, number>();
    /** Time since which a keeper has refused every connection, by address, monotonic milliseconds. */
    private readonly refusedSince = new Map<string, number>();

    /**
     * @param keepers - addresses of the initially known keepers
     */
    constructor(private keepers: readonly string[]) {}

    /**
     * Replaces the list of keepers and drops the records of keepers that are no longer listed.
     * @param keepers - their addresses
     */
    setKeepers(keepers: readonly string[]): void {
        this.keepers = keepers;
        [...this.timedOutAt.keys(), ...this.refusedSince.keys()].filter(keeper => !keepers.includes(keeper))
            .forEach(keeper => this.recordResponse(keeper));
    }

    /**
     * Records a response of a keeper, whatever its content.
     * @param keeper - its address
     */
    recordResponse(keeper: string): void {
        this.timedOutAt.delete(keeper);
        this.refusedSince.delete(keeper);
    }

    /**
     * Records that a keeper refused or reset a connection. At first its process is assumed to be restarting; after the
     * grace period, a partition that refuses connections is more likely and the keeper counts as unreachable.
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
     * Records that a keeper did not respond in time.
     * @param keeper - its address
     * @param now - monotonic milliseconds
     */
    recordTimeout(keeper: string, now: number): void {
        if (this.keepers.includes(keeper)) {
            this.timedOutAt.set(keeper, now);
        }
    }

    /**
     * Tells whether a majority of the keepers is unreachable.
     * @param now - monotonic milliseconds
     * @returns true when no leader can be reached from this process
     */
    isQuorumUnreachable(now: number): boolean {
        const unreachableCount = [...this.timedOutAt.values()].filter(at => now - at < timeoutValidityMs).length;
        return unreachableCount > this.keepers.length / 2;
    }
}
