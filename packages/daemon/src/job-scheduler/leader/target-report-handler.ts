import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { isTargetChanged } from "@daisylock/core/targets/is-target-changed.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

import type { Clock } from "../../clock/clock.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { Leadership } from "./leadership.js";

/** The newest report of one target life. */
interface LatestReport {
    readonly incarnation: number;
    readonly sequence: number;
    /** Monotonic milliseconds. */
    readonly at: number;
    readonly clockMs: number | undefined;
}

/** Takes targets' heartbeats, on the leader. */
export class TargetReportHandler {
    private readonly latestReports = new Map<string, LatestReport>();

    /**
     * @param leadership - whether this process may decide
     * @param clock - time
     * @param log - decisions
     * @param startScheduling - called when a target has changed
     */
    constructor(
        private readonly leadership: Leadership,
        private readonly clock: Clock,
        private readonly log: DecisionLog,
        private readonly startScheduling: () => void,
    ) {}

    /**
     * Takes a heartbeat. What is new is committed before it is acknowledged, so that no later leader starts anything on
     * a target that was told it may leave.
     * @param report - the heartbeat
     * @returns whether it was the newest, or where the leader may be
     */
    handleReport(report: TargetReport): Promise<LeaderReply<{ isNewest: boolean }>> {
        return this.leadership.serveCall(async () => {
            const { record, sequence, clockMs } = report;
            const known = this.leadership.readFleet().targets.get(record.id);
            if (this.isOutdated(report, known?.incarnation)) {
                return { isNewest: false };
            }
            this.latestReports.set(record.id, {
                incarnation: record.incarnation,
                sequence,
                at: this.clock.readMonotonic(),
                clockMs,
            });
            if (!isTargetChanged(known, record)) {
                return { isNewest: true };
            }
            const isNewest = await this.leadership.recordCommand({ kind: CommandKind.RecordTarget, record });
            if (isNewest === undefined) {
                return undefined;
            }
            const kind = record.state === ReportedTargetState.Draining
                ? DecisionKind.TargetDraining
                : DecisionKind.TargetRecorded;
            this.log.record(kind, { target: record.id, vm: record.vm, pool: record.pool, sequence, newest: isNewest });
            this.startScheduling();
            return { isNewest };
        });
    }

    /**
     * Takes a target's word that it has ended.
     * @param request - id of the target
     * @returns whether it was known, or where the leader may be
     */
    handleLeave({ id }: { id: string }): Promise<LeaderReply<{ isKnown: boolean }>> {
        return this.leadership.serveCall(async () => {
            const known = this.leadership.readFleet().targets.get(id);
            if (known === undefined) {
                return { isKnown: false };
            }
            const isKnown = await this.leadership.recordCommand({
                kind: CommandKind.RemoveTarget,
                id,
                incarnation: known.incarnation,
                atMs: Date.now(),
            });
            if (isKnown === undefined) {
                return undefined;
            }
            this.log.record(DecisionKind.TargetGone, { target: id, vm: known.vm, reason: "it said that it leaves" });
            this.latestReports.delete(id);
            this.startScheduling();
            return { isKnown };
        });
    }

    /**
     * Reads the newest heartbeat of a target life.
     * @param id - the target
     * @param incarnation - its life
     * @returns when it came and the target's clock in it, or `undefined` when none came to this leader
     */
    findReport(id: string, incarnation: number): LatestReport | undefined {
        const seen = this.latestReports.get(id);
        return seen?.incarnation === incarnation ? seen : undefined;
    }

    private isOutdated({ record, sequence }: TargetReport, knownIncarnation: number | undefined): boolean {
        const seen = this.latestReports.get(record.id);
        const newest = Math.max(seen?.incarnation ?? 0, knownIncarnation ?? 0);
        return record.incarnation < newest
            || (seen?.incarnation === record.incarnation && sequence <= seen.sequence);
    }
}
