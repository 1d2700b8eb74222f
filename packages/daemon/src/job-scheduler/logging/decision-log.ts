import loglevel from "loglevel";
import type { WriteStream } from "node:fs";

import { DecisionKind } from "./decision-kind.js";
import { highVolumeKinds } from "./high-volume-kinds.js";
import { JobSampler } from "./job-sampler.js";
import { LineBatcher } from "./line-batcher.js";
import { openLogOutput } from "./open-log-output.js";

/** Limit of lines per second of each kind whose lines do not belong to a job; further lines are dropped and counted. */
const maxLinesPerSecond = 500;
/** The same for all kinds of lines of jobs together; only jobs much larger than those before them reach it. */
const maxJobLinesPerSecond = 4_000;
/** Bytes that may be buffered for a slow reader of standard output; further lines are dropped and counted. */
const maxBufferedBytes = 262_144;
/** Part of these bytes that is left to kinds whose number of lines does not grow with the load. */
const reservedBytes = 65_536;
const rateWindowMs = 1_000;
const standardOutputFd = 1;

/** Callbacks for decisions and dropped lines. */
interface DecisionListener {
    readonly noteDecision: (kind: DecisionKind, fields: Fields) => void;
    readonly noteDroppedLine: () => void;
}

/** Counter of the lines of jobs in the rate window. */
const jobLines = "job-lines";

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Writes one JSON line for each decision, with a limited rate and buffer. Lines that exceed the limits, for example
 * because of a slow reader, are dropped and counted by kind, so that logging never blocks the process. Of jobs that are
 * too many, some have all their lines written and the others none. A part of the buffer is reserved for rare kinds, such
 * as changes of leadership, which lines of jobs and tasks would otherwise push out.
 */
export class DecisionLog {
    private readonly logger: loglevel.Logger;
    private readonly batcher: LineBatcher;
    private readonly sampler = new JobSampler();
    private readonly lineCounts = new Map<DecisionKind | typeof jobLines, number>();
    private readonly droppedCounts = new Map<DecisionKind, number>();
    private readonly listeners: DecisionListener[] = [];
    private windowEndsAt = 0;

    /**
     * @param process - name of this process
     * @param level - lowest level to write
     * @param output - stream that receives the lines; standard output by default
     */
    constructor(
        process: string,
        level: loglevel.LogLevelDesc,
        output: WriteStream = openLogOutput(standardOutputFd),
    ) {
        this.batcher = new LineBatcher(output);
        this.logger = loglevel.getLogger(`daisylock/decisions/${process}`);
        this.logger.methodFactory = methodName => (kind: unknown, fields?: unknown) =>
            this.writeLine(
                kind as DecisionKind,
                JSON.stringify({
                    time: new Date().toISOString(),
                    level: methodName,
                    process,
                    kind,
                    ...fields as object,
                }),
            );
        this.logger.setLevel(level, false);
    }

    /**
     * Sets the lowest level to write.
     * @param level - the level
     */
    setLevel(level: loglevel.LogLevelDesc): void {
        this.logger.setLevel(level, false);
    }

    /**
     * Adds a listener, which is notified of every decision, including those whose lines are dropped.
     * @param listener - the listener
     */
    addListener(listener: DecisionListener): void {
        this.listeners.push(listener);
    }

    /**
     * Records a decision: notifies the listeners and writes a line unless a limit is exceeded.
     * @param kind - what was decided
     * @param fields - inputs and outcome of the decision
     */
    record(kind: DecisionKind, fields: Fields): void {
        this.listeners.forEach(({ noteDecision }) => noteDecision(kind, fields));
        const now = performance.now();
        if (now >= this.windowEndsAt) {
            this.startWindow(now);
        }
        if (!this.isWithinRate(kind, fields, now)) {
            this.dropLine(kind);
            return;
        }
        this.logger.info(kind, fields);
    }

    /**
     * Takes the lines that wait to be written, for a process that is about to end.
     * @returns the lines without their ends
     */
    takePendingLines(): string[] {
        return this.batcher.takePendingLines();
    }

    /**
     * Counts the bytes that the reader of the log has not taken yet.
     * @returns bytes
     */
    countPendingBytes(): number {
        return this.batcher.countPendingBytes();
    }

    private isWithinRate(kind: DecisionKind, fields: Fields, now: number): boolean {
        const job = findJob(fields);
        if (job !== undefined && !this.sampler.isLineKept(job, now)) {
            return false;
        }
        const counted = job === undefined ? kind : jobLines;
        const count = (this.lineCounts.get(counted) ?? 0) + 1;
        this.lineCounts.set(counted, count);
        return count <= (job === undefined ? maxLinesPerSecond : maxJobLinesPerSecond);
    }

    private dropLine(kind: DecisionKind): void {
        this.droppedCounts.set(kind, (this.droppedCounts.get(kind) ?? 0) + 1);
        this.listeners.forEach(({ noteDroppedLine }) => noteDroppedLine());
    }

    private startWindow(now: number): void {
        this.windowEndsAt = now + rateWindowMs;
        this.lineCounts.clear();
        if (this.droppedCounts.size > 0) {
            const counts = Object.fromEntries(this.droppedCounts);
            const count = [...this.droppedCounts.values()].reduce((sum, value) => sum + value, 0);
            this.droppedCounts.clear();
            this.logger.warn(DecisionKind.LinesDropped, { count, ...counts });
        }
    }

    private writeLine(kind: DecisionKind, line: string): void {
        const maxBytes = highVolumeKinds.has(kind) ? maxBufferedBytes - reservedBytes : maxBufferedBytes;
        if (this.batcher.countPendingBytes() > maxBytes) {
            this.dropLine(kind);
            return;
        }
        this.batcher.addLine(line);
    }
}

/** Finds the job that a line is about; the keys of its tasks and steps begin with its id. */
function findJob({ job, task, step }: Fields): string | undefined {
    const key = job ?? task ?? step;
    return typeof key === "string" ? key.split(".", 1)[0] : undefined;
}
