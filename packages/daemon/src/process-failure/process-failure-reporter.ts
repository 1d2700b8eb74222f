import { InvariantViolation } from "@daisylock/core/invariants/invariant-violation.js";

import { DecisionKind } from "../job-scheduler/logging/decision-kind.js";
import { Escalation } from "../supervision/escalation.js";
import { describeError } from "./describe-error.js";
import { ProcessFailureReason } from "./process-failure-reason.js";
import { writeBeforeExit } from "./write-before-exit.js";

const exitFailure = 1;
const exitUsage = 2;
const msPerSecond = 1_000;

/** Log of the process, as far as it is known when the process fails. */
interface FailureLog {
    /** File descriptor to which the process logs. */
    readonly fd: number;
    /** Name of the process; empty before its settings are loaded. */
    readonly process: string;
    /** Takes the lines that wait to be written. */
    readonly takePendingLines: () => string[];
}

/** Writes one structured line when the process ends by itself, and ends it. */
export class ProcessFailureReporter {
    private isReported = false;

    /**
     * @param log - log of the process
     * @param exit - ends the process with an exit code
     */
    constructor(private log: FailureLog, private readonly exit: (code: number) => never = code => process.exit(code)) {}

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
        return this.exit(exitCode);
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
        if (!writeBeforeExit(this.log.fd, [...this.log.takePendingLines(), line])) {
            writeBeforeExit(process.stderr.fd, [line]);
        }
    }
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
