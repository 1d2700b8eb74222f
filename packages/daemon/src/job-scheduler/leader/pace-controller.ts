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
import type { TargetSessions } from "./target-sessions.js";

/** Targets measure tail latencies over half a second; a shorter interval would act on the same measurement twice. */
const intervalMs = 600;
const fullPacePercent = 100;

/**
 * Reduces the pace of fillers (best-effort tasks) as the tail latency of serving tasks on the same target approaches
 * its bound, while this process is the active leader.
 */
export class PaceController extends PeriodicWorker {
    override readonly name = "pace-controller";
    /** Active pace in percent of full speed, by encoded task key and run. */
    private readonly paces = new Map<string, number>();

    /**
     * @param leadership - leadership state of this process
     * @param sessions - sessions of the targets
     * @param log - decision log
     * @param clock - clock for the control interval
     */
    constructor(
        private readonly leadership: Leadership,
        private readonly sessions: TargetSessions,
        private readonly log: DecisionLog,
        clock: Clock,
    ) {
        super(clock);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        if (this.leadership.isActive()) {
            const changes = [...this.sessions.list().values()].flatMap(session => this.applyPaces(session));
            yield* waitFor(Promise.all(changes));
        }
        return intervalMs;
    }

    private applyPaces(session: TargetSession): Promise<void>[] {
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
            const pace = this.paces.get(key) ?? fullPacePercent;
            const next = computePace(pace, maxTailShare);
            return next === pace ? [] : [this.setPace(session, running.task, running.run, next, maxTailShare)];
        });
    }

    private async setPace(
        session: TargetSession,
        task: string,
        run: number,
        percent: number,
        maxTailShare: number,
    ): Promise<void> {
        if (!await session.setPace(task, run, percent)) {
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

function isServing(step: JobStep): boolean {
    return step.isLongRunning && !step.isFiller && step.tailBoundMs > 0;
}
