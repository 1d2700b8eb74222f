import { RunProgress } from "@daisylock/core/crashes/run-progress.js";
import type { UnconfirmedRun } from "@daisylock/core/queueing/unconfirmed-run.js";
import type { TaskRun } from "@daisylock/core/targets/task-run.js";

import type { Clock } from "../../clock/clock.js";
import type { RunRequestState } from "./run-request-state.js";

/** The leader's request for one run of a task. */
interface TrackedRequest {
    /** Encoded task key. */
    readonly task: string;
    readonly state: RunRequestState;
}

/** Tracks the leader's requests to one target, by task and run. */
export class RunRequestTracker {
    private readonly requests = new Map<string, TrackedRequest>();
    /** Latest known reading of the target's clock, milliseconds. */
    private latestClockMs = 0;

    /**
     * @param clock - clock for the creation time of requests
     */
    constructor(private readonly clock: Clock) {}

    /**
     * Finds the request for a run.
     * @param task - encoded task key
     * @param run - run number
     * @returns the request, or `undefined` when this leader has created none
     */
    find(task: string, run: number): RunRequestState | undefined {
        return this.requests.get(buildKey(task, run))?.state;
    }

    /**
     * Finds the request for a run, or creates one.
     * @param task - encoded task key
     * @param run - run number
     * @returns the request
     */
    findOrCreate(task: string, run: number): RunRequestState {
        const existing = this.find(task, run);
        if (existing !== undefined) {
            return existing;
        }
        const state: RunRequestState = {
            run,
            createdAt: this.clock.readMonotonic(),
            isStartSent: false,
            isStartUnanswered: false,
            unansweredStartAt: undefined,
            isStopConfirmed: false,
            isStopRequested: false,
            confirmedAt: undefined,
            confirmedClockMs: undefined,
            isInFlight: false,
        };
        this.requests.set(buildKey(task, run), { task, state });
        return state;
    }

    /**
     * Collects the recorded runs of the target whose start it has not confirmed. This includes runs that an earlier
     * leader recorded and for which this leadership has created no request.
     * @param runs - numbers of the recorded runs, by encoded task key
     * @param openedAt - when the session was opened, monotonic milliseconds
     * @returns the unconfirmed runs
     */
    collectUnconfirmedRuns(runs: ReadonlyMap<string, number>, openedAt: number): UnconfirmedRun[] {
        const now = this.clock.readMonotonic();
        const unconfirmedRuns: UnconfirmedRun[] = [];
        for (const [task, run] of runs) {
            const request = this.find(task, run);
            if (request?.confirmedAt === undefined) {
                const ageMs = now - (request?.createdAt ?? openedAt);
                unconfirmedRuns.push({ ageMs, isInFlight: request?.isInFlight === true });
            }
        }
        return unconfirmedRuns;
    }

    /**
     * Records that the target was alive at a reading of its clock.
     * @param clockMs - the reading, milliseconds
     */
    noteAlive(clockMs: number): void {
        this.latestClockMs = Math.max(this.latestClockMs, clockMs);
    }

    /**
     * Reads how far a run that is recorded on the target has come. The time that it has run is measured on the clock of the
     * target, so that a response that is handled late does not count as time without a crash.
     * @param task - encoded task key
     * @param run - run number
     * @param probationMs - time after its start for which the run is on probation, milliseconds
     * @returns its progress; unconfirmed for a run that an earlier leader recorded and the target has not listed yet
     */
    readProgress(task: string, run: number, probationMs: number): RunProgress {
        const request = this.find(task, run);
        if (request?.confirmedClockMs !== undefined) {
            const isSettled = this.latestClockMs - request.confirmedClockMs >= probationMs;
            return isSettled ? RunProgress.Settled : RunProgress.OnProbation;
        }
        return request?.isStartSent === false && !request.isStopRequested
            ? RunProgress.Unsent
            : RunProgress.Unconfirmed;
    }

    /**
     * Deletes requests for runs that have ended.
     * @param runs - numbers of the recorded runs, by encoded task key
     * @param listed - the runs that the target lists, by encoded task key
     */
    dropEndedRuns(runs: ReadonlyMap<string, number>, listed: ReadonlyMap<string, TaskRun>): void {
        for (const [key, { task, state }] of this.requests) {
            const isRunning = runs.get(task) === state.run || listed.get(task)?.run === state.run;
            if (!state.isInFlight && !isRunning) {
                this.requests.delete(key);
            }
        }
    }
}

function buildKey(task: string, run: number): string {
    return `${task} ${run}`;
}
