import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import type { JobStep } from "@daisylock/core/jobs/job-step.js";
import { computePace } from "@daisylock/core/pacing/compute-pace.js";

import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import type { FaultListener } from "../../containment/fault-listener.js";
import { runContained } from "../../containment/run-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { RunningTask } from "../targets/running-task.js";
import type { Leadership } from "./leadership.js";
import type { TargetSession } from "./target-session.js";

/** Targets measure tail latencies over half a second; a shorter interval would act on the same measurement twice. */
const intervalMs = 600;
const fullPacePercent = 100;

/** Pace of a filler. */
interface Pace {
    /** Percent of full speed. The lower one when a request was not answered, which may have been carried out. */
    readonly percent: number;
    /** Whether the target has confirmed it. */
    readonly isConfirmed: boolean;
}

/** Pace of a filler that this leadership has not set. It is full from the start, but an earlier leader may have set it. */
const presumedPace: Pace = { percent: fullPacePercent, isConfirmed: false };

/** A session as far as the pace controller needs it. */
type PacedSession = Pick<TargetSession, "record" | "running" | "setPace">;

/**
 * Reduces the pace of fillers (best-effort tasks) as the tail latency of serving tasks on the same target approaches
 * its bound, while this process is the active leader.
 */
export class PaceController extends PeriodicWorker {
    override readonly name = "pace-controller";
    /** Paces set in this leadership, by encoded task key and run. */
    private readonly paces = new Map<string, Pace>();
    /** Fencing token of the leadership in which the paces were set. */
    private token = 0;
    private readonly noteFault: FaultListener;

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
        this.noteFault = createFaultListener(log);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        if (this.leadership.isActive()) {
            this.noteLeadership(this.leadership.readFencingToken());
            const changes = [...this.sessions.list().values()].map(session =>
                runContained<unknown>(
                    this.noteFault,
                    { work: WorkKind.TargetRequest, subject: session.record.id },
                    () => Promise.all(this.applyPaces(session)),
                    () => undefined,
                )
            );
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
            const pace = this.paces.get(key) ?? presumedPace;
            const next = computePace(pace.percent, maxTailShare);
            const isSent = pace.isConfirmed ? next !== pace.percent : !isPaceKept(maxTailShare);
            return isSent ? [this.setPace(session, running, pace, next, maxTailShare)] : [];
        });
    }

    private async setPace(
        session: PacedSession,
        { task, run }: RunningTask,
        previous: Pace,
        percent: number,
        maxTailShare: number,
    ): Promise<void> {
        const { token } = this;
        const isConfirmed = await runContained(
            this.noteFault,
            { work: WorkKind.TargetRequest, subject: session.record.id },
            () => session.setPace(task, run, percent),
            () => false,
        );
        if (token !== this.token) {
            return;
        }
        this.paces.set(`${task}#${run}`, {
            percent: isConfirmed ? percent : Math.min(percent, previous.percent),
            isConfirmed,
        });
        if (isConfirmed) {
            this.log.record(DecisionKind.PaceChanged, {
                task,
                run,
                percent,
                target: session.record.id,
                tailShare: Number(maxTailShare.toFixed(2)),
            });
        }
    }

    private findStep(task: string): JobStep | undefined {
        const key = decodeTaskKey(task);
        return key === undefined ? undefined : this.leadership.readFleet().jobs.get(key.job)?.steps[key.step];
    }
}

/** Tells whether the tail latency calls for no change of any pace. */
function isPaceKept(maxTailShare: number): boolean {
    return computePace(0, maxTailShare) === 0 && computePace(fullPacePercent, maxTailShare) === fullPacePercent;
}

function isServing(step: JobStep): boolean {
    return step.isLongRunning && !step.isFiller && step.tailBoundMs > 0;
}
