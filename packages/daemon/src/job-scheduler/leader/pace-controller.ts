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

/** Tail latencies cover half a second; a faster control would act on the same figures twice. */
const intervalMs = 600;
const fullPacePercent = 100;

/** Slows fillers down before the users of their neighbours notice, while this process leads. */
export class PaceController extends PeriodicWorker {
    override readonly name = "pace-controller";
    /** Pace in force by encoded task key and run. */
    private readonly paces = new Map<string, number>();

    /**
     * @param leadership - whether this process may decide
     * @param sessions - the targets
     * @param log - decisions
     * @param clock - time
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
        const rows = [...session.running.values()].map(row => ({ row, step: this.findStep(row.task) }));
        const fillers = rows.filter(({ step }) => step?.isFiller === true);
        const worstShare = Math.max(
            0,
            ...rows.map(({ row, step }) => step !== undefined && isServing(step) ? row.load / step.tailBoundMs : 0),
        );
        return fillers.flatMap(({ row }) => {
            const name = `${row.task}#${row.run}`;
            const pace = this.paces.get(name) ?? fullPacePercent;
            const next = computePace(pace, worstShare);
            return next === pace ? [] : [this.setPace(session, row.task, row.run, next, worstShare)];
        });
    }

    private async setPace(
        session: TargetSession,
        task: string,
        run: number,
        percent: number,
        worstShare: number,
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
            tailShare: Number(worstShare.toFixed(2)),
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
