import type { CrashedRun } from "@daisylock/core/crashes/crashed-run.js";
import type { TaskEnd } from "@daisylock/core/jobs/task-end.js";
import { FencingTokens } from "@daisylock/core/targets/fencing-tokens.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { TargetTable } from "@daisylock/core/targets/target-table.js";
import { UnrecordedRuns } from "@daisylock/core/targets/unrecorded-runs.js";

import type { TargetClock } from "@daisylock/core/targets/target-clock.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import type { Leadership } from "./leadership.js";
import { ListedTargetSession } from "./listed-target-session.js";
import type { MeasureWork } from "./measure-work.js";
import { ProbeBudget } from "./probe-budget.js";
import { RunEndRecorder } from "./run-end-recorder.js";
import type { SessionDependencies } from "./session-dependencies.js";
import type { TargetSession } from "./target-session.js";

/** Number of other targets of an availability zone that are checked after a target left a request unanswered. */
const zoneSampleSize = 8;
/** Number of them that have to be unreachable before the whole zone is checked. */
const zoneFailureCount = 2;
/** Probes a second of targets that show no sign of life. */
const probesPerSecond = 50;

/**
 * A pool may have one of this many targets ejected as slow, counting those that are ejected for any reason or are being
 * tried again; if more seem slow, the estimates are wrong.
 */
const targetsPerEjection = 3;

/** Dependencies of the sessions; the others are shared by them. */
type SessionsDependencies = Omit<SessionDependencies, "probeBudget" | "endRecorder" | "unrecordedRuns" | "measure"> & {
    readonly leadership: Pick<Leadership, "scheduleCommand">;
};

/** Sessions of all targets, one per target incarnation and leadership. */
export class TargetSessions {
    private readonly sessions = new Map<string, TargetSession>();
    private term = 0;
    private tokens = new FencingTokens(0);
    /** Targets for which the sessions are up to date, and their version then. */
    private targets: TargetTable | undefined;
    private targetsVersion = 0;
    /** Whether a session was closed since. */
    private hasClosedSessions = false;
    /** Zones of which a sample or all targets are being checked. */
    private readonly checkedZones = new Set<string>();
    /** Position at which the next sample begins, so that samples differ. */
    private sampleStart = 0;
    private readonly dependencies: SessionDependencies;

    /**
     * @param dependencies - services and callbacks passed to each session
     * @param measure - runs work of the sessions and records its time
     */
    constructor(
        dependencies: SessionsDependencies,
        measure: MeasureWork = (_work, run) => run(),
    ) {
        const probeBudget = new ProbeBudget(probesPerSecond, dependencies.clock);
        const endRecorder = new RunEndRecorder(dependencies.leadership, dependencies.clock);
        const unrecordedRuns = new UnrecordedRuns(dependencies.maxLeaseMs);
        this.dependencies = { ...dependencies, probeBudget, endRecorder, unrecordedRuns, measure };
    }

    /**
     * Opens sessions for new target incarnations and closes those of ended ones. Does nothing while there are neither.
     * @param targets - the recorded targets by id
     * @param term - term of this leadership
     */
    update(targets: TargetTable, term: number): void {
        this.closeEarlier(term);
        const version = targets.readVersion();
        if (targets === this.targets && version === this.targetsVersion && !this.hasClosedSessions) {
            return;
        }
        for (const [id, session] of this.sessions) {
            if (!session.isOpen() || targets.get(id)?.incarnation !== session.record.incarnation) {
                session.close();
                this.sessions.delete(id);
            }
        }
        for (const [id, record] of targets) {
            if (!this.sessions.has(id)) {
                this.sessions.set(id, this.createSession(record));
            }
        }
        this.targets = targets;
        this.targetsVersion = version;
        this.hasClosedSessions = false;
    }

    /**
     * Closes the sessions of an earlier leadership.
     * @param term - term of the newest leadership known to this process
     */
    closeEarlier(term: number): void {
        if (term !== this.term) {
            this.closeAll();
            this.term = term;
            this.tokens = new FencingTokens(term);
        }
    }

    /**
     * Reads the fencing token of requests to a target outside of its session.
     * @param id - id of the target
     * @param term - term of this leadership
     * @returns the newest token
     */
    readFencingToken(id: string, term: number): number {
        return term === this.term ? this.tokens.read(id) : term;
    }

    /**
     * Takes a fencing token with which a new incarnation refuses the requests of the sessions so far.
     * @param target - id and incarnation of the target
     * @param term - term of this leadership
     * @returns the token; `undefined` if there was no session with the id, or there is one with this incarnation, which
     *     the token would fence
     */
    takeFencingToken({ id, incarnation }: Pick<TargetRecord, "id" | "incarnation">, term: number): number | undefined {
        const isServed = this.sessions.get(id)?.record.incarnation === incarnation;
        return term === this.term && !isServed && this.tokens.isUsed(id) ? this.tokens.takeNext(id) : undefined;
    }

    /**
     * Finds the session of a target.
     * @param id - id of the target
     * @returns the session, or `undefined` when the target is not known
     */
    find(id: string): TargetSession | undefined {
        return this.sessions.get(id);
    }

    /**
     * Collects the tasks that may not start, as a run that was released goes on.
     * @returns encoded task keys
     */
    collectBlockedTasks(): ReadonlySet<string> {
        const { unrecordedRuns, leadership, clock } = this.dependencies;
        return unrecordedRuns.collectBlockedTasks(leadership.readFleet().targets, clock.readMonotonic());
    }

    /**
     * Finds a target on which a run of a task that was released goes on.
     * @param task - encoded task key
     * @returns id of the target; `undefined` when the task may start
     */
    findBlocker(task: string): string | undefined {
        const { unrecordedRuns, leadership, clock } = this.dependencies;
        return unrecordedRuns.findBlocker(task, leadership.readFleet().targets, clock.readMonotonic());
    }

    /**
     * Finds the clock of a target incarnation as its answers state it.
     * @param id - id of the target
     * @param incarnation - the incarnation
     * @returns the clock, or `undefined` until the incarnation has answered this leadership
     */
    findAnsweredClock(id: string, incarnation: number): TargetClock | undefined {
        const session = this.sessions.get(id);
        return session?.record.incarnation === incarnation ? session.readAnsweredClock() : undefined;
    }

    /**
     * Watches for the end of a target that was deregistered and still answers.
     * @param id - id of the target
     * @param incarnation - the incarnation
     */
    noteLeaving(id: string, incarnation: number): void {
        const session = this.sessions.get(id);
        if (session?.record.incarnation === incarnation) {
            session.noteLeaving();
        }
    }

    /**
     * Lists the sessions.
     * @returns the sessions by target id
     */
    list(): ReadonlyMap<string, TargetSession> {
        return this.sessions;
    }

    /**
     * Checks the reachability of a target that left a request unanswered and, by a sample, of its availability zone: a
     * lost zone is recognized at once, and a single target costs the others neither requests nor their starts.
     * @param target - the target
     */
    async checkZoneReachable({ id, zone }: Pick<TargetRecord, "id" | "zone">): Promise<void> {
        const work = { work: WorkKind.ReachabilityCheck, subject: id };
        const noteFault = createFaultListener(this.dependencies.log);
        startContained(noteFault, work, () => this.sessions.get(id)?.checkReachable());
        if (this.checkedZones.has(zone)) {
            return;
        }
        this.checkedZones.add(zone);
        try {
            await this.checkSample(id, zone);
        }
        finally {
            this.checkedZones.delete(zone);
        }
    }

    private async checkSample(id: string, zone: string): Promise<void> {
        const others = [...this.sessions.values()].filter(session =>
            session.record.zone === zone && session.record.id !== id && session.isResponding()
        );
        const sample = this.pickSample(others);
        const responses = await Promise.all(sample.map(session => session.checkReachable()));
        if (responses.filter(isReachable => isReachable === false).length >= zoneFailureCount) {
            await Promise.all(others.map(session => session.checkReachable()));
        }
    }

    private pickSample(sessions: readonly TargetSession[]): TargetSession[] {
        this.sampleStart += 1;
        const stride = Math.max(1, Math.floor(sessions.length / zoneSampleSize));
        return sessions.filter((_, position) => (position + this.sampleStart) % stride === 0).slice(0, zoneSampleSize);
    }

    /**
     * Tells what is known of the runs that are recorded on a target, for the case that it has crashed.
     * @param id - id of the target
     * @returns the runs; none when the target has no session
     */
    collectCrashedRuns(id: string): CrashedRun[] {
        return this.sessions.get(id)?.collectCrashedRuns() ?? [];
    }

    /**
     * Takes note of ends of runs that are recorded.
     * @param ends - the ends
     */
    noteRunEnds(ends: readonly TaskEnd[]): void {
        for (const end of ends) {
            this.sessions.get(end.target)?.noteRunEnds([end]);
        }
    }

    /**
     * Tells whether a further target of a pool may be ejected because it seems slow. Those that are tried again with one
     * task at a time count as ejected.
     * @param pool - name of the pool
     * @returns false while too many targets of the pool are ejected
     */
    isEjectionAllowed(pool: string): boolean {
        const sessions = [...this.sessions.values()].filter(session => session.record.pool === pool);
        // One of two may be ejected, but never the only one.
        const allowed = Math.max(Math.floor(sessions.length / targetsPerEjection), sessions.length > 1 ? 1 : 0);
        return sessions.filter(session => session.isEjected()).length < allowed;
    }

    private createSession(record: TargetRecord): TargetSession {
        const isRestarted = this.tokens.isUsed(record.id);
        const { tokens } = this;
        let token = tokens.takeNext(record.id);
        const noteClosed = () => {
            this.hasClosedSessions = true;
        };
        return new ListedTargetSession(record, token, this.dependencies, isRestarted, noteClosed, () => {
            // A higher one was taken for the next incarnation, which refuses what this session sends.
            if (tokens.read(record.id) !== token) {
                return undefined;
            }
            token = tokens.takeNext(record.id);
            return token;
        });
    }

    /** Closes all sessions. */
    closeAll(): void {
        this.sessions.forEach(session => session.close());
        this.sessions.clear();
    }
}
