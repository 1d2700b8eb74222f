import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { findTask } from "@daisylock/core/jobs/find-task.js";
import { TaskPhase } from "@daisylock/core/jobs/task-phase.js";
import type { TaskRecord } from "@daisylock/core/jobs/task-record.js";
import { isStartBlocked } from "@daisylock/core/targets/is-start-blocked.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { TaskRun } from "@daisylock/core/targets/task-run.js";

import { DecisionKind } from "../logging/decision-kind.js";
import type { SessionDependencies } from "./session-dependencies.js";

/** Callbacks into the session of the target. */
interface SessionCallbacks {
    readonly isOpen: () => boolean;
    /** Computes when every lease that the target may hold has expired, monotonic milliseconds. */
    readonly computeLeaseEnd: () => number;
}

/**
 * Tracks the runs that one target lists and that are not recorded there: nothing starts on the target until they have ended,
 * nor do the next runs of their tasks elsewhere.
 */
export class UnrecordedRunTracker {
    /**
     * @param record - the target incarnation
     * @param session - callbacks into the session of the target
     * @param dependencies - services of the leader
     */
    constructor(
        private readonly record: TargetRecord,
        private readonly session: SessionCallbacks,
        private readonly dependencies: Pick<SessionDependencies, "unrecordedRuns" | "leadership" | "clock" | "log">,
    ) {}

    /**
     * Takes note of a list of running tasks.
     * @param unassigned - the listed runs that are not recorded on the target
     */
    noteList(unassigned: readonly TaskRun[]): void {
        if (!this.session.isOpen()) {
            return;
        }
        const { unrecordedRuns, leadership, clock } = this.dependencies;
        const fleet = leadership.readFleet();
        const runs = unassigned.map(run => ({ ...run, isTaskBlocked: isStartBlocked(fleet, run) }));
        const target = {
            id: this.record.id,
            incarnation: this.record.incarnation,
            computeLeaseEnd: this.session.computeLeaseEnd,
        };
        const added = unrecordedRuns.noteList(target, runs, clock.readMonotonic())
            .filter(({ isTaskBlocked }) => isTaskBlocked);
        const [first] = added;
        if (first !== undefined) {
            this.recordListing(first, added.length);
        }
    }

    /**
     * Takes note of the ended runs that a list names, also one without the running tasks.
     * @param ends - the runs
     */
    noteEnds(ends: readonly TaskRun[]): void {
        this.dependencies.unrecordedRuns.noteEnds(this.record.id, ends);
    }

    /**
     * Tells whether the end of such a run is waited for.
     * @returns true while nothing may start on the target because of it
     */
    isEndAwaited(): boolean {
        const { unrecordedRuns, leadership, clock } = this.dependencies;
        return unrecordedRuns.isTargetBlocked(this.record.id, leadership.readFleet().targets, clock.readMonotonic());
    }

    private recordListing({ task, run }: TaskRun, count: number): void {
        const { log, clock } = this.dependencies;
        const { id, incarnation } = this.record;
        const record = this.findRecord(task);
        log.record(DecisionKind.RunsUnrecorded, {
            target: id,
            incarnation,
            count,
            task,
            run,
            leaseMs: Math.max(0, Math.round(this.session.computeLeaseEnd() - clock.readMonotonic())),
            newestRun: record?.run,
            placedOn: record?.phase === TaskPhase.Placed ? record.target : undefined,
        });
    }

    private findRecord(task: string): TaskRecord | undefined {
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : this.dependencies.leadership.readFleet().jobs.get(key.job);
        return key === undefined || job === undefined ? undefined : findTask(job, key);
    }
}
