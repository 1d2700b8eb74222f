import { type EventLoopUtilization, performance, PerformanceObserver } from "node:perf_hooks";

import type { Clock } from "../../clock/clock.js";
import { SystemClock } from "../../clock/system-clock.js";

const microsecondsPerMs = 1_000;
const percent = 100;
/** Number of kinds of requests that are named in one interval. */
const namedKinds = 8;
/** Number of kinds of work that are named in one interval. */
const namedWork = 10;

/** What this process did in one interval, as logged by the leader. */
interface LoadInterval {
    /** Processor time of the process, milliseconds. */
    readonly cpuMs: number;
    /** Share of the time in which the event loop was busy. */
    readonly busyPercent: number;
    readonly rounds: number;
    /** Time spent in scheduling rounds without the wait for their commits, milliseconds. */
    readonly roundMs: number;
    readonly longestRoundMs: number;
    /** Rounds that planned as many starts as a round may, so that tasks may wait beside targets with room. */
    readonly limitedRounds: number;
    /** Longest time for which the event loop kept a timer waiting, milliseconds. */
    readonly longestTurnMs: number;
    /** Iterations of the event loop and the events that it handled; `undefined` where the runtime does not count them. */
    readonly loops: number | undefined;
    readonly events: number | undefined;
    /** Tasks whose start was recorded. */
    readonly starts: number;
    /** Commands that recorded starts, and the time from their proposal to their result, milliseconds. */
    readonly startCommits: number;
    readonly startCommitMs: number;
    readonly longestStartCommitMs: number;
    /** Runs whose end was recorded, the commands that recorded them, and the time from their proposal to their result, milliseconds. */
    readonly ends: number;
    readonly endCommits: number;
    readonly endCommitMs: number;
    readonly longestEndCommitMs: number;
    /** Writes of the replicated log to disk and their time, milliseconds. */
    readonly writes: number;
    readonly writeMs: number;
    /** Groups of entries of the replicated log that were committed together. */
    readonly commits: number;
    /** Requests that were sent to and received from other processes. */
    readonly requests: number;
    /** The most frequent kinds of these requests with their numbers, most frequent first. */
    readonly requestKinds: string;
    /** Time of the main thread for the most expensive kinds of measured work, most expensive first, milliseconds. */
    readonly workMs: string;
    /** Time for which the collector of garbage stopped the program, milliseconds, and how often. */
    readonly gcMs: number;
    readonly gcs: number;
    /** Resident memory of the process at the end of the interval. */
    readonly residentBytes: number;
}

/** Measures what a process spends its time on, from one reading to the next. */
export class LoadMeter {
    /** Processor time of the process at the begin of the interval, milliseconds. */
    private cpuMs: number;
    private utilization: EventLoopUtilization = performance.eventLoopUtilization();
    private rounds = 0;
    private roundMs = 0;
    private longestRoundMs = 0;
    private limitedRounds = 0;
    private longestTurnMs = 0;
    private starts = 0;
    private startCommits = 0;
    private startCommitMs = 0;
    private longestStartCommitMs = 0;
    private ends = 0;
    private endCommits = 0;
    private endCommitMs = 0;
    private longestEndCommitMs = 0;
    private writes = 0;
    private writeMs = 0;
    private commits = 0;
    private loopCounts = readLoopCounts();
    private readonly requestKinds = new Map<string, number>();
    private readonly workMs = new Map<string, number>();
    /** Time of work within the work that is being measured, milliseconds. */
    private nestedMs = 0;
    private gcMs = 0;
    private gcs = 0;

    /**
     * @param clock - measures the time of work
     * @param readCpuMs - reads the processor time of the process since its start, milliseconds
     */
    constructor(
        private readonly clock: Pick<Clock, "readMonotonic"> = new SystemClock(),
        private readonly readCpuMs: () => number = readProcessCpuMs,
    ) {
        this.cpuMs = readCpuMs();
        const observer = new PerformanceObserver(list => {
            for (const { duration } of list.getEntries()) {
                this.gcMs += duration;
                this.gcs += 1;
            }
        });
        observer.observe({ entryTypes: ["gc"] });
    }

    /**
     * Records a scheduling round.
     * @param durationMs - its duration, milliseconds
     * @param isLimited - whether it planned as many starts as a round may
     */
    noteRound(durationMs: number, isLimited = false): void {
        this.rounds += 1;
        this.limitedRounds += isLimited ? 1 : 0;
        this.roundMs += durationMs;
        this.longestRoundMs = Math.max(this.longestRoundMs, durationMs);
    }

    /**
     * Records by how much a timer was late.
     * @param delayMs - the delay, milliseconds
     */
    noteTimerDelay(delayMs: number): void {
        this.longestTurnMs = Math.max(this.longestTurnMs, delayMs);
    }

    /**
     * Records the commit of starts of tasks.
     * @param count - number of recorded starts
     * @param durationMs - time from the proposal to its result, milliseconds
     */
    noteStarts(count: number, durationMs: number): void {
        this.starts += count;
        this.startCommits += 1;
        this.startCommitMs += durationMs;
        this.longestStartCommitMs = Math.max(this.longestStartCommitMs, durationMs);
    }

    /**
     * Records the commit of ends of runs.
     * @param count - number of recorded ends
     * @param durationMs - time from the proposal to its result, milliseconds
     */
    noteEnds(count: number, durationMs: number): void {
        this.ends += count;
        this.endCommits += 1;
        this.endCommitMs += durationMs;
        this.longestEndCommitMs = Math.max(this.longestEndCommitMs, durationMs);
    }

    /**
     * Records a write of the replicated log to disk.
     * @param durationMs - its duration, milliseconds
     */
    noteWrite(durationMs: number): void {
        this.writes += 1;
        this.writeMs += durationMs;
    }

    /** Records that entries of the replicated log were committed and applied together. */
    noteCommit(): void {
        this.commits += 1;
    }

    /**
     * Records a request that was sent to or received from another process.
     * @param kind - its direction and kind
     */
    noteRequest(kind: string): void {
        this.requestKinds.set(kind, (this.requestKinds.get(kind) ?? 0) + 1);
    }

    /**
     * Runs synchronous work and records its time, without that of other measured work within it.
     * @param work - name of the work
     * @param run - runs it
     * @returns its result
     */
    measure<Value>(work: string, run: () => Value): Value {
        const outerNestedMs = this.nestedMs;
        this.nestedMs = 0;
        const startedAt = this.clock.readMonotonic();
        try {
            return run();
        }
        finally {
            const tookMs = this.clock.readMonotonic() - startedAt;
            this.workMs.set(work, (this.workMs.get(work) ?? 0) + tookMs - this.nestedMs);
            this.nestedMs = outerNestedMs + tookMs;
        }
    }

    /**
     * Ends the interval and begins the next one.
     * @returns the figures of the interval that ends
     */
    takeInterval(): LoadInterval {
        const cpuMs = this.readCpuMs();
        const utilization = performance.eventLoopUtilization(this.utilization);
        const loopCounts = readLoopCounts();
        const kinds = [...this.requestKinds].sort(([, a], [, b]) => b - a);
        const interval = {
            cpuMs: Math.round(cpuMs - this.cpuMs),
            busyPercent: Math.round(utilization.utilization * percent),
            rounds: this.rounds,
            roundMs: Math.round(this.roundMs),
            longestRoundMs: Math.round(this.longestRoundMs),
            limitedRounds: this.limitedRounds,
            longestTurnMs: Math.round(this.longestTurnMs),
            loops: computeDifference(loopCounts.loopCount, this.loopCounts.loopCount),
            events: computeDifference(loopCounts.events, this.loopCounts.events),
            starts: this.starts,
            startCommits: this.startCommits,
            startCommitMs: Math.round(this.startCommitMs),
            longestStartCommitMs: Math.round(this.longestStartCommitMs),
            ends: this.ends,
            endCommits: this.endCommits,
            endCommitMs: Math.round(this.endCommitMs),
            longestEndCommitMs: Math.round(this.longestEndCommitMs),
            writes: this.writes,
            writeMs: Math.round(this.writeMs),
            commits: this.commits,
            requests: kinds.reduce((sum, [, count]) => sum + count, 0),
            requestKinds: kinds.slice(0, namedKinds).map(([kind, count]) => `${kind} ${count}`).join(", "),
            workMs: this.describeWork(),
            gcMs: Math.round(this.gcMs),
            gcs: this.gcs,
            residentBytes: process.memoryUsage.rss(),
        };
        this.cpuMs = cpuMs;
        this.utilization = performance.eventLoopUtilization();
        this.rounds = 0;
        this.roundMs = 0;
        this.longestRoundMs = 0;
        this.limitedRounds = 0;
        this.longestTurnMs = 0;
        this.starts = 0;
        this.startCommits = 0;
        this.startCommitMs = 0;
        this.longestStartCommitMs = 0;
        this.ends = 0;
        this.endCommits = 0;
        this.endCommitMs = 0;
        this.longestEndCommitMs = 0;
        this.writes = 0;
        this.writeMs = 0;
        this.commits = 0;
        this.loopCounts = loopCounts;
        this.requestKinds.clear();
        this.workMs.clear();
        this.gcMs = 0;
        this.gcs = 0;
        return interval;
    }

    private describeWork(): string {
        const works = [...this.workMs].sort(([, a], [, b]) => b - a).slice(0, namedWork);
        return works.map(([work, ms]) => `${work} ${Math.round(ms)}`).join(", ");
    }
}

/** Counters of the event loop since the start of the process; `undefined` in releases of the runtime before 20.18. */
interface LoopCounts {
    readonly loopCount: number | undefined;
    readonly events: number | undefined;
}

function readProcessCpuMs(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / microsecondsPerMs;
}

function readLoopCounts(): LoopCounts {
    const { uvMetricsInfo }: { uvMetricsInfo?: { loopCount: number; events: number } } = performance.nodeTiming;
    return { loopCount: uvMetricsInfo?.loopCount, events: uvMetricsInfo?.events };
}

function computeDifference(newer: number | undefined, older: number | undefined): number | undefined {
    return newer === undefined || older === undefined ? undefined : newer - older;
}
