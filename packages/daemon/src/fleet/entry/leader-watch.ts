import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../log/decision-kind.js";
import type { DecisionLog } from "../log/decision-log.js";
import type { LeaderCaller } from "../peers/leader-caller.js";

const intervalMs = 250;
const timeoutMs = 600;
/** Time after the last answer of a leader for which an entry still says that it is ready: an election and its discovery. */
const readyMs = 1_200;

/** Watches whether an entry can have jobs accepted. */
export class LeaderWatch extends PeriodicWorker {
    override readonly name = "leader-watch";
    private answeredAt: number | undefined;
    private wasReachable = false;

    /**
     * @param caller - the way to the leader
     * @param log - decisions
     * @param clock - time
     */
    constructor(private readonly caller: LeaderCaller, private readonly log: DecisionLog, clock: Clock) {
        super(clock);
    }

    /**
     * Tells whether new callers should come to this entry.
     * @returns true while a leader with a configuration has answered lately and most keepers are not silent
     */
    isReady(): boolean {
        return !this.caller.isCutOff() && this.answeredAt !== undefined
            && this.clock.readMonotonic() - this.answeredAt < readyMs;
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        yield* waitFor(this.caller.updateLeader());
        const reply = yield* waitFor(this.caller.send("ping", {}, timeoutMs));
        const isReachable = reply.isOk && reply.value.hasConfiguration;
        if (reply.isOk) {
            this.caller.noteVoters(reply.value.keepers);
        }
        if (isReachable) {
            this.answeredAt = this.clock.readMonotonic();
        }
        if (isReachable !== this.wasReachable) {
            this.log.note(isReachable ? DecisionKind.LeaderReachable : DecisionKind.LeaderUnreachable, {
                leader: this.caller.readLeader(),
                detail: reply.isErr ? reply.error.detail : undefined,
            });
            this.wasReachable = isReachable;
        }
        return intervalMs;
    }
}
