import type { EventLoopUtilization } from "node:perf_hooks";

import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { LeaderRehearsal } from "./leader-rehearsal.js";

/** Time after the start of the process for which it is left to its other work, milliseconds. */
const initialDelayMs = 1_000;
/** Longest time for which the rehearsal goes on at once, milliseconds; a fraction of a heartbeat interval. */
const sliceMs = 10;
/** Pause after a slice, milliseconds, so that the rehearsal takes at most a fifth of a core. */
const pauseMs = 40;
/** Share of busy time in the last pause above which the rehearsal waits. */
const maxBusyShare = 0.5;
/** Number of starts of tasks after which the code that they take is compiled. */
const rehearsedStarts = 2_500;
const idleIntervalMs = 60_000;
const microsecondsPerMs = 1_000;

/** Runs a rehearsal of the leader's work once, in small slices, while the process has little else to do. */
export class RehearsalWorker extends PeriodicWorker {
    override readonly name = "leader-rehearsal";
    private rehearsal: Pick<LeaderRehearsal, "runFor" | "countStarts" | "stop"> | undefined;
    private isEnded = false;
    private utilization: EventLoopUtilization | undefined;
    private cpuMs = 0;
    private readonly startsAt: number;

    /**
     * @param createRehearsal - creates the rehearsal when it is due
     * @param log - decision log
     * @param clock - monotonic clock
     */
    constructor(
        private readonly createRehearsal: () => Pick<LeaderRehearsal, "runFor" | "countStarts" | "stop">,
        private readonly log: Pick<DecisionLog, "record">,
        clock: Clock,
    ) {
        super(clock);
        this.startsAt = clock.readMonotonic() + initialDelayMs;
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        if (this.isEnded) {
            return idleIntervalMs;
        }
        const isDue = this.clock.readMonotonic() >= this.startsAt && !this.isBusy();
        if (isDue) {
            yield* this.runSlice();
        }
        this.utilization = performance.eventLoopUtilization();
        return pauseMs;
    }

    protected override *releaseResources(): Generator<unknown, void, unknown> {
        this.rehearsal?.stop();
    }

    private isBusy(): boolean {
        return performance.eventLoopUtilization(this.utilization).utilization > maxBusyShare;
    }

    /** A failure ends the rehearsal and nothing else: this process then leads with code that is not compiled yet. */
    private *runSlice(): Generator<unknown, void, unknown> {
        const cpu = process.cpuUsage();
        let failure: string | undefined;
        try {
            this.rehearsal ??= this.createRehearsal();
            yield* waitFor(this.rehearsal.runFor(sliceMs));
        }
        catch (error) {
            failure = error instanceof Error ? error.message : String(error);
        }
        const { user, system } = process.cpuUsage(cpu);
        this.cpuMs += (user + system) / microsecondsPerMs;
        const starts = this.rehearsal?.countStarts() ?? 0;
        if (failure !== undefined || starts >= rehearsedStarts) {
            this.isEnded = true;
            this.rehearsal?.stop();
            this.rehearsal = undefined;
            this.log.record(DecisionKind.LeaderRehearsed, { starts, cpuMs: Math.round(this.cpuMs), failure });
        }
    }
}
