import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { LeaderClient } from "../peers/leader-client.js";

const intervalMs = 250;
const pingTimeoutMs = 600;
/** Longest time between two pings, milliseconds, as only they tell the keepers and whether there is a configuration. */
const maxPingIntervalMs = 1_000;
/** Time for which an entry stays ready after the last reply of a leader; covers an election and its discovery. */
const readinessTimeoutMs = 1_200;

/**
 * Monitors whether an entry (ingress process) can reach a leader that accepts jobs. Replies to calls show that as well, so
 * a leader that is busy with calls is not pinged as often.
 */
export class LeaderMonitor extends PeriodicWorker {
    override readonly name = "leader-watch";
    private lastReplyAt: number | undefined;
    private wasReachable = false;
    /** Monotonic milliseconds. */
    private pingDueAt = 0;
    /** When the last check ended, monotonic milliseconds. */
    private checkedAt = 0;

    /**
     * @param leaderClient - client for calls to the leader
     * @param log - log of decisions
     * @param clock - clock for the interval and the readiness
     */
    constructor(private readonly leaderClient: LeaderClient, private readonly log: DecisionLog, clock: Clock) {
        super(clock);
    }

    /**
     * Tells whether new callers should be routed to this entry.
     * @returns true while a leader with a configuration has replied recently and most keepers are not unresponsive
     */
    isReady(): boolean {
        return !this.leaderClient.isQuorumUnreachable() && this.lastReplyAt !== undefined
            && this.clock.readMonotonic() - this.lastReplyAt < readinessTimeoutMs;
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const now = this.clock.readMonotonic();
        const repliedAt = this.leaderClient.readLastReplyTime();
        if (this.wasReachable) {
            this.lastReplyAt = repliedAt;
            if (repliedAt > this.checkedAt && now < this.pingDueAt) {
                this.checkedAt = now;
                return intervalMs;
            }
        }
        this.pingDueAt = now + maxPingIntervalMs;
        yield* waitFor(this.leaderClient.updateLeader());
        const reply = yield* waitFor(this.leaderClient.send("ping", {}, pingTimeoutMs));
        const isReachable = reply.isOk && reply.value.hasConfiguration;
        if (reply.isOk) {
            this.leaderClient.setVoters(reply.value.keepers);
        }
        if (isReachable) {
            this.lastReplyAt = this.clock.readMonotonic();
        }
        if (isReachable !== this.wasReachable) {
            this.log.record(isReachable ? DecisionKind.LeaderReachable : DecisionKind.LeaderUnreachable, {
                leader: this.leaderClient.readLeader(),
                detail: reply.isErr ? reply.error.detail : undefined,
            });
            this.wasReachable = isReachable;
        }
        this.checkedAt = this.clock.readMonotonic();
        return intervalMs;
    }
}
