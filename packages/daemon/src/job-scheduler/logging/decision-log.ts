import loglevel from "loglevel";
import { createWriteStream, type WriteStream } from "node:fs";

import { DecisionKind } from "./decision-kind.js";
import { highVolumeKinds } from "./high-volume-kinds.js";

/** Limit of lines of each kind per second; further lines are dropped and counted. */
const maxLinesPerSecond = 500;
/** Bytes that may be buffered for a slow reader of standard output; further lines are dropped and counted. */
const maxBufferedBytes = 262_144;
/** Part of these bytes that is left to kinds whose number of lines does not grow with the load. */
const reservedBytes = 65_536;
const batchMs = 10;
const rateWindowMs = 1_000;
const standardOutputFd = 1;

/** Callbacks for decisions and dropped lines. */
interface DecisionListener {
    readonly noteDecision: (kind: DecisionKind, fields: Fields) => void;
    readonly noteDroppedLine: () => void;
}

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Writes one JSON line for each decision, with a limited rate and buffer. Lines that exceed the limits, for example
 * because of a slow reader, are dropped and counted, so that logging never blocks the process. A part of the buffer is
 * reserved for rare kinds, such as changes of leadership, which lines of jobs and tasks would otherwise push out.
 */
export class DecisionLog {
    private readonly logger: loglevel.Logger;
    private readonly output: WriteStream;
    private readonly lineCounts = new Map<DecisionKind, number>();
    private readonly listeners: DecisionListener[] = [];
    private windowEndsAt = 0;
    private droppedLineCount = 0;
    private isBatching = false;

    /**
     * @param process - name of this process
     * @param level - lowest level to write
     * @param output - stream that receives the lines; standard output by default
     */
    constructor(
        process: string,
        level: loglevel.LogLevelDesc,
        output: WriteStream = createWriteStream("", { fd: standardOutputFd, autoClose: false }),
    ) {
        this.output = output;
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
        const count = (this.lineCounts.get(kind) ?? 0) + 1;
        this.lineCounts.set(kind, count);
        if (count > maxLinesPerSecond) {
            this.dropLine();
            return;
        }
        this.logger.info(kind, fields);
    }

    private dropLine(): void {
        this.droppedLineCount += 1;
        this.listeners.forEach(({ noteDroppedLine }) => noteDroppedLine());
    }

    private startWindow(now: number): void {
        this.windowEndsAt = now + rateWindowMs;
        this.lineCounts.clear();
        if (this.droppedLineCount > 0) {
            const count = this.droppedLineCount;
            this.droppedLineCount = 0;
            this.logger.warn(DecisionKind.LinesDropped, { count });
        }
    }

    private writeLine(kind: DecisionKind, line: string): void {
        const maxBytes = highVolumeKinds.has(kind) ? maxBufferedBytes - reservedBytes : maxBufferedBytes;
        if (this.output.writableLength > maxBytes) {
            this.dropLine();
            return;
        }
        this.startBatch();
        this.output.write(`${line}\n`);
    }

    /** Lets the lines of a short time share one write. */
    private startBatch(): void {
        if (!this.isBatching) {
            this.isBatching = true;
            this.output.cork();
            setTimeout(() => {
                this.isBatching = false;
                this.output.uncork();
            }, batchMs);
        }
    }
}
