import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import type { JobStep } from "@daisylock/core/jobs/job-step.js";
import { computePace } from "@daisylock/core/pacing/compute-pace.js";

import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { Leadership } from "./leadership.js";
import type { TargetSession } from "./target-session.js";

/** Targets measure tail latencies over half a second; a shorter interval would act on the same measurement twice. */
const intervalMs = 600;
const fullPacePercent = 100;

/** A session as far as the pace controller needs it. */
type PacedSession = Pick<TargetSession, "record" | "running" | "setPace">;

/**
 * Reduces the pace of fillers (best-effort tasks) as the tail latency of serving tasks on the same target approaches
 * its bound, while this process is the active leader.
 */
export class PaceController extends PeriodicWorker {
    override readonly name = "pace-controller";
    /** Pace in percent of full speed that targets confirmed in this leadership, by encoded task key and run. */
    private readonly paces = new Map<string, number>();
    /** Fencing token of the leadership in which the paces were set. */
    private token = 0;

    /**
     * @param leadership - leadership state of this process
     * @param sessions - sessions of the targets
     * @param log - decision log
     * @param clock - clock for the control interval
     */
    constructor(
        private readonly leadership: Leadership,
        private readonly sessions: { readonly list: () => ReadonlyMap<string, PacedSession> },
        private readonly log: Pick<DecisionLog, "record">,
        clock: Clock,
    ) {
        super(clock);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        if (this.leadership.isActive()) {
            this.noteLeadership(this.leadership.readFencingToken());
            const changes = [...this.sessions.list().values()].flatMap(session => this.applyPaces(session));
            yield* waitFor(Promise.all(changes));
        }
        return intervalMs;
    }

    /** Another leader may have changed the paces since, so that none is known in a new term. */
    private noteLeadership(token: number): void {
        if (token !== this.token) {
            this.token = token;
            this.paces.clear();
        }
    }

    private applyPaces(session: PacedSession): Promise<void>[] {
        const tasks = [...session.running.values()].map(running => ({ running, step: this.findStep(running.task) }));
        const fillers = tasks.filter(({ step }) => step?.isFiller === true);
        const maxTailShare = Math.max(
            0,
            ...tasks.map(({ running, step }) =>
                step !== undefined && isServing(step) ? running.load / step.tailBoundMs : 0
            ),
        );
        return fillers.flatMap(({ running }) => {
            const key = `${running.task}#${running.run}`;
            const pace = this.paces.get(key);
            const next = computePace(pace ?? fullPacePercent, maxTailShare);
            // An earlier leader may have set any pace, so it is set once as soon as the tail latency calls for a change.
            const isSent = pace === undefined
                ? next !== fullPacePercent || isRecovering(maxTailShare)
                : next !== pace;
            return isSent ? [this.setPace(session, running.task, running.run, next, maxTailShare)] : [];
        });
    }

    private async setPace(
        session: PacedSession,
        task: string,
        run: number,
        percent: number,
        maxTailShare: number,
    ): Promise<void> {
        const { token } = this;
        if (!await session.setPace(task, run, percent) || token !== this.token) {
            return;
        }
        this.paces.set(`${task}#${run}`, percent);
        this.log.record(DecisionKind.PaceChanged, {
            task,
            run,
            percent,
            target: session.record.id,
            tailShare: Number(maxTailShare.toFixed(2)),
        });
    }

    private findStep(task: string): JobStep | undefined {
        const key = decodeTaskKey(task);
        return key === undefined ? undefined : this.leadership.readFleet().jobs.get(key.job)?.steps[key.step];
    }
}

/** Tells whether the tail latency is low enough for fillers to speed up. */
function isRecovering(maxTailShare: number): boolean {
    return computePace(0, maxTailShare) > 0;
}

function isServing(step: JobStep): boolean {
    return step.isLongRunning && !step.isFiller && step.tailBoundMs > 0;
}
