import { InvariantViolation } from "@daisylock/core/invariants/invariant-violation.js";

import { DecisionKind } from "../job-scheduler/logging/decision-kind.js";
import { Escalation } from "../supervision/escalation.js";
import { describeError } from "./describe-error.js";
import { ProcessFailureReason } from "./process-failure-reason.js";
import { writeBeforeExit } from "./write-before-exit.js";

const exitFailure = 1;
const exitUsage = 2;
const standardErrorFd = 2;
const msPerSecond = 1_000;
/** Bytes in writes in progress above which the reader of the log is taken to be stuck: two writes of lines. */
const maxPendingBytes = 8_192;

type StopProcess = (code: number, isLogBlocked: boolean) => never;

/** Log of the process, as far as it is known when the process fails. */
interface FailureLog {
    /** File descriptor to which the process logs. */
    readonly fd: number;
    /** Name of the process; empty before its settings are loaded. */
    readonly process: string;
    /** Takes the lines that wait to be written. */
    readonly takePendingLines: () => string[];
    /** Counts the bytes that are being written. */
    readonly countPendingBytes: () => number;
}

/** Writes one structured line when the process ends by itself, and ends it. */
export class ProcessFailureReporter {
    private isReported = false;
    /** Whether the reader of the log has taken nothing for a while. */
    private isLogBlocked = false;

    /**
     * @param log - log of the process
     * @param exit - ends the process with an exit code; at once if a write of the log waits for its reader
     */
    constructor(private log: FailureLog, private readonly exit: StopProcess = stopProcess) {}

    /**
     * Sets the log once it is known.
     * @param log - log of the process
     */
    setLog(log: FailureLog): void {
        this.log = log;
    }

    /** Begins to handle errors that nothing catches and rejections that nothing handles. */
    start(): void {
        process.on("uncaughtException", (error: unknown, origin) => {
            const isRejection = origin === "unhandledRejection";
            const { UnhandledRejection, UncaughtError } = ProcessFailureReason;
            this.reportAndExit(isRejection ? UnhandledRejection : UncaughtError, error);
        });
    }

    /**
     * Reports why the process cannot go on, and ends it. Only the first report is written.
     * @param reason - why it ends; a broken invariant is recognized by the error
     * @param error - the error
     */
    reportAndExit(reason: ProcessFailureReason, error: unknown): never {
        const exitCode = reason === ProcessFailureReason.SettingsUnusable ? exitUsage : exitFailure;
        if (!this.isReported) {
            this.isReported = true;
            this.writeReport(reason, error, exitCode);
        }
        return this.exit(exitCode, this.isLogBlocked);
    }

    private writeReport(reason: ProcessFailureReason, error: unknown, exitCode: number): void {
        const { component, cause } = findCause(error);
        const line = JSON.stringify({
            time: new Date().toISOString(),
            level: "error",
            process: this.log.process,
            kind: DecisionKind.ProcessFailed,
            reason: cause instanceof InvariantViolation ? ProcessFailureReason.InvariantBroken : reason,
            component,
            ...describeError(cause),
            uptimeMs: Math.round(process.uptime() * msPerSecond),
            residentBytes: process.memoryUsage.rss(),
            exitCode,
        });
        const { fd, takePendingLines, countPendingBytes } = this.log;
        const isWritten = writeBeforeExit(fd, [...takePendingLines(), line]);
        if (!isWritten) {
            writeBeforeExit(standardErrorFd, [line]);
        }
        this.isLogBlocked = !isWritten || countPendingBytes() > maxPendingBytes;
    }
}

/** The exit of Node waits for writes in progress, without a limit. */
function stopProcess(code: number, isLogBlocked: boolean): never {
    if (isLogBlocked) {
        process.kill(process.pid, "SIGKILL");
    }
    process.exit(code);
}

/** Follows escalations from the root of the supervisor tree to the component that failed. */
function findCause(error: unknown): { readonly component: string | undefined; readonly cause: unknown } {
    let component: string | undefined;
    let cause = error;
    while (cause instanceof Escalation) {
        component = `${cause.supervisor}/${cause.child}`;
        cause = cause.cause;
    }
    return { component, cause };
}
