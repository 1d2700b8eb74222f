import { computeLatestLeaseExpiry } from "./compute-latest-lease-expiry.js";
import { isRecentlyStarted } from "./is-recently-started.js";
import type { LeaseGrants } from "./lease-grants.js";
import { maxRelayAgeMs } from "./max-relay-age-ms.js";
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

/** The leases that a target may hold, as far as the session with one of its incarnations knows. */
export class TargetLeases {
    readonly clock = new TargetClock();
    /**
     * Until when this incarnation may have executed requests that were meant for an earlier one, or a later one those for
     * this; `undefined` if there were none.
     */
    private strayRequestsUntil: number | undefined;
    private isFenced = false;
    /** Until when starts that were sent before the session may be on their way, monotonic milliseconds. */
    private readonly earlierStartsEndAt: number;
    /** When a request with a lease was last sent, monotonic milliseconds. */
    private requestedAt = -Infinity;
    /** When the latest request was sent that this incarnation has answered, monotonic milliseconds. */
    private lastAnsweredSentAt = -Infinity;
    private readonly requestedLeaseMs: number;

    /**
     * @param session - the session
     */
    constructor(private readonly session: SessionStart) {
        const { openedAt, leadingSince, isRestarted, incarnation, wallMs, maxLeaseMs } = session;
        this.requestedLeaseMs = maxLeaseMs * requestedLeaseFraction;
        this.earlierStartsEndAt = (isRestarted ? openedAt : leadingSince) + maxRelayAgeMs;
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
     * Takes note of a request with a lease that the target may execute.
     * @param end - end of the lease on the target's clock
     * @param sentAt - monotonic milliseconds
     */
    noteRequest(end: number, sentAt: number): void {
        this.clock.noteLease(end);
        this.requestedAt = Math.max(this.requestedAt, sentAt);
    }

    /**
     * Takes note that this incarnation has answered a request.
     * @param sentAt - when the request was sent, monotonic milliseconds
     */
    noteAnswered(sentAt: number): void {
        this.lastAnsweredSentAt = Math.max(this.lastAnsweredSentAt, sentAt);
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
     * Computes until when this incarnation may execute runs without contact with the leader.
     * @returns monotonic milliseconds
     */
    computeExpiry(): number {
        return computeLatestLeaseExpiry(this.readGrants());
    }

    /**
     * Computes until when the target may execute a run without contact with the leader. Another incarnation, of which
     * nothing may have been heard, executes only runs whose start this one has not answered, and holds the longest lease
     * from each request that it executes. Requests that are executed later than a relay sends them are not covered.
     * @param unansweredStartAt - when the session last sent a start of the run that this incarnation has not answered,
     *     monotonic milliseconds; `undefined` if there is none
     * @param wasRecordedBefore - whether the run was recorded before the session
     * @returns monotonic milliseconds
     */
    computeRunExpiry(unansweredStartAt: number | undefined, wasRecordedBefore: boolean): number {
        const startableUntil = Math.max(
            (unansweredStartAt ?? -Infinity) + maxRelayAgeMs,
            wasRecordedBefore ? this.earlierStartsEndAt : -Infinity,
        );
        const unseenRequestsUntil = startableUntil > this.lastAnsweredSentAt
            ? Math.max(startableUntil, this.requestedAt + maxRelayAgeMs)
            : -Infinity;
        return computeLatestLeaseExpiry({
            ...this.readGrants(),
            strayRequestsUntil: Math.max(this.strayRequestsUntil ?? -Infinity, unseenRequestsUntil),
        });
    }

    private readGrants(): LeaseGrants {
        const { leadingSince, maxLeaseMs } = this.session;
        return {
            leadingSince,
            maxLeaseMs,
            requestedLeaseMs: this.requestedLeaseMs,
            strayRequestsUntil: this.strayRequestsUntil,
            ownExpiry: this.clock.computeLeaseExpiry(),
        };
    }
}
