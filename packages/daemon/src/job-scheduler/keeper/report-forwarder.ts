import { isTargetChanged } from "@daisylock/core/targets/is-target-changed.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { ReportReply } from "@daisylock/protocol/fleet/report-reply.js";
import Result from "true-myth/result";

import { runContained } from "../../containment/run-contained.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { CallFailure } from "../../http-client/call-failure.js";
import type { ReportForwarderDependencies } from "./report-forwarder-dependencies.js";

/** Time for which heartbeats that change nothing are collected, milliseconds; their targets wait a second for a response. */
const collectMs = 50;
/** Size of the collected heartbeats from which they are passed on without waiting for more, characters as JSON. */
const maxCharacters = 256 * 1_024;

/** Calls the leader. */
type SendToLeader = <Name extends "report" | "reports">(
    name: Name,
    request: LeaderCalls[Name]["request"],
    timeoutMs: number,
) => Promise<Result<LeaderCalls[Name]["reply"], CallFailure>>;

/** A heartbeat that is to be passed on. */
interface WaitingReport {
    readonly report: TargetReport;
    /** When its reply is due, monotonic milliseconds. */
    readonly endsAt: number;
    readonly settle: (reply: Result<ReportReply, CallFailure> | Promise<Result<ReportReply, CallFailure>>) => void;
}

/**
 * Passes heartbeats on to the leader. Those that change nothing are collected for a moment and share a call, so that the
 * leader receives one message from each keeper, however many targets there are. The others go on at once.
 */
export class ReportForwarder {
    private waiting: WaitingReport[] = [];
    private waitingCharacters = 0;
    private stopTimer: () => void = () => undefined;

    /**
     * @param sendToLeader - calls the leader
     * @param timeoutMs - time within which a heartbeat is replied to, milliseconds
     * @param dependencies - the replicated state, clock and fault listener
     */
    constructor(
        private readonly sendToLeader: SendToLeader,
        private readonly timeoutMs: number,
        private readonly dependencies: ReportForwarderDependencies,
    ) {}

    /**
     * Passes a heartbeat on.
     * @param report - the heartbeat
     * @returns the reply of the leader, or a failure
     */
    forwardReport(report: TargetReport): Promise<Result<ReportReply, CallFailure>> {
        const { clock, findTarget } = this.dependencies;
        const endsAt = clock.readMonotonic() + this.timeoutMs;
        if (isTargetChanged(findTarget(report.record.id), report.record)) {
            // Heartbeats of one target go on in the order in which they came.
            this.sendWaiting();
            return this.sendToLeader("report", report, this.timeoutMs);
        }
        return new Promise(settle => {
            this.waiting.push({ report, endsAt, settle });
            this.waitingCharacters += JSON.stringify(report).length;
            if (this.waitingCharacters >= maxCharacters) {
                this.sendWaiting();
            }
            else if (this.waiting.length === 1) {
                this.stopTimer = clock.schedule(collectMs, () => this.sendWaiting());
            }
        });
    }

    private sendWaiting(): void {
        const { waiting } = this;
        const [first] = waiting;
        this.stopTimer();
        if (first === undefined) {
            return;
        }
        this.waiting = [];
        this.waitingCharacters = 0;
        const work = { work: WorkKind.PeerCall, subject: `${waiting.length} heartbeats` };
        startContained(this.dependencies.noteFault, work, async () => {
            const replies = await runContained<Result<LeaderCalls["reports"]["reply"]["replies"], CallFailure>>(
                this.dependencies.noteFault,
                work,
                () => this.sendTogether(waiting.map(({ report }) => report), first.endsAt),
                () => Result.err({ kind: CallFailureKind.Unanswered, detail: "fault", isTimeout: false }),
            );
            waiting.forEach((entry, position) => this.settleReport(entry, replies.map(list => list[position]?.reply)));
        });
    }

    private async sendTogether(
        reports: readonly TargetReport[],
        endsAt: number,
    ): Promise<Result<LeaderCalls["reports"]["reply"]["replies"], CallFailure>> {
        const reply = await this.sendToLeader("reports", { reports }, this.computeTimeout(endsAt));
        return reply.map(({ replies }) => [...replies]);
    }

    /**
     * Settles a heartbeat with its reply. It is sent by itself if the leader has left it out, or is of an earlier release and
     * does not know the call.
     */
    private settleReport(
        { report, endsAt, settle }: WaitingReport,
        reply: Result<ReportReply | undefined, CallFailure>,
    ): void {
        const isLeftOut = reply.isOk ? reply.value === undefined : reply.error.kind === CallFailureKind.Unsupported;
        if (isLeftOut) {
            settle(this.sendToLeader("report", report, this.computeTimeout(endsAt)));
        }
        else {
            settle(reply as Result<ReportReply, CallFailure>);
        }
    }

    private computeTimeout(endsAt: number): number {
        return Math.max(0, endsAt - this.dependencies.clock.readMonotonic());
    }
}
