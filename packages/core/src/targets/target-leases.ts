import { computeLatestLeaseExpiry } from "./compute-latest-lease-expiry.js";
import { isRecentlyStarted } from "./is-recently-started.js";
import type { LeaseGrants } from "./lease-grants.js";
import { maxRequestDelayMs } from "./max-request-delay-ms.js";
import { TargetClock } from "./target-clock.js";

/**
 * Fraction of the longest lease that is requested. The remainder is a margin, so that the target still grants a late
 * renewal in full.
 */
const requestedLeaseFraction = 0.75;

/** Beginning of a session with a target incarnation. Times are milliseconds on the leader's monotonic clock. */
interface SessionStart extends Pick<LeaseGrants, "leadingSince" | "maxLeaseMs"> {
    /** Start of the incarnation as the target reports it, milliseconds since the Unix epoch. */
    readonly incarnation: number;
    /** Wall clock of the leader, milliseconds. */
    readonly wallMs: number;
    readonly openedAt: number;
    /** Whether this leadership had an earlier session with the id. */
    readonly isRestarted: boolean;
}

/** The leases that a target incarnation may hold, as far as the session with it knows. */
export class TargetLeases {
    readonly clock = new TargetClock();
    /**
     * Until when this incarnation may have executed requests that were meant for an earlier one, or a later one those for
     * this; `undefined` if there were none.
     */
    private strayRequestsUntil: number | undefined;
    private isFenced = false;
    private readonly requestedLeaseMs: number;

    /**
     * @param session - the session
     */
    constructor(private readonly session: SessionStart) {
        const { openedAt, leadingSince, isRestarted, incarnation, wallMs, maxLeaseMs } = session;
        this.requestedLeaseMs = maxLeaseMs * requestedLeaseFraction;
        if (isRestarted) {
            this.strayRequestsUntil = openedAt + maxRequestDelayMs;
        }
        else if (isRecentlyStarted(incarnation, wallMs, maxLeaseMs)) {
            // The leader before has fenced the requests for the earlier incarnation.
            this.strayRequestsUntil = leadingSince;
        }
    }

    /**
     * Takes note that the target has executed a request of the session, so that it refuses those of earlier ones.
     * @param now - monotonic milliseconds
     */
    noteFenced(now: number): void {
        if (!this.isFenced) {
            this.isFenced = true;
            this.strayRequestsUntil = this.strayRequestsUntil === undefined ? undefined : now;
        }
    }

    /**
     * Takes note that another incarnation has executed a request of the session, which grants a lease by another clock.
     * @param now - monotonic milliseconds
     */
    noteOtherIncarnation(now: number): void {
        this.strayRequestsUntil = now;
    }

    /**
     * Computes the expiry of a lease that is requested now.
     * @param now - monotonic milliseconds
     * @returns time on the target's clock, or `undefined` before its first reading
     */
    computeRequestedEnd(now: number): number | undefined {
        return this.clock.computeLeaseEnd(now, this.requestedLeaseMs);
    }

    /**
     * Computes until when the target may execute runs without contact with the leader.
     * @returns monotonic milliseconds
     */
    computeExpiry(): number {
        return computeLatestLeaseExpiry({
            ...this.session,
            requestedLeaseMs: this.requestedLeaseMs,
            strayRequestsUntil: this.strayRequestsUntil,
            ownExpiry: this.clock.computeLeaseExpiry(),
        });
    }
}
