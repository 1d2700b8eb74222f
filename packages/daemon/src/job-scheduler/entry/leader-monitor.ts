import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { LeaderClient } from "../peers/leader-client.js";

const intervalMs = 250;
const pingTimeoutMs = 600;
/** Time after the last answer of a leader for which an entry still says that it is ready: an election and its discovery. */
const readinessTimeoutMs = 1_200;

/** Watches whether an entry can have jobs accepted. */
export class LeaderMonitor extends PeriodicWorker {
    override readonly name = "leader-watch";
    private answeredAt: number | undefined;
    private wasReachable = false;

    /**
     * @param leaderClient - the way to the leader
     * @param log - decisions
     * @param clock - time
     */
    constructor(private readonly leaderClient: LeaderClient, private readonly log: DecisionLog, clock: Clock) {
        super(clock);
    }

    /**
     * Tells whether new callers should come to this entry.
     * @returns true while a leader with a configuration has answered lately and most keepers are not silent
     */
    isReady(): boolean {
        return !this.leaderClient.isQuorumUnreachable() && this.answeredAt !== undefined
            && this.clock.readMonotonic() - this.answeredAt < readinessTimeoutMs;
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        yield* waitFor(this.leaderClient.updateLeader());
        const reply = yield* waitFor(this.leaderClient.send("ping", {}, pingTimeoutMs));
        const isReachable = reply.isOk && reply.value.hasConfiguration;
        if (reply.isOk) {
            this.leaderClient.setVoters(reply.value.keepers);
        }
        if (isReachable) {
            this.answeredAt = this.clock.readMonotonic();
        }
        if (isReachable !== this.wasReachable) {
            this.log.record(isReachable ? DecisionKind.LeaderReachable : DecisionKind.LeaderUnreachable, {
                leader: this.leaderClient.readLeader(),
                detail: reply.isErr ? reply.error.detail : undefined,
            });
            this.wasReachable = isReachable;
        }
        return intervalMs;
    }
}
