import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { isEndUnplanned } from "@daisylock/core/crashes/is-end-unplanned.js";
import type { TargetCrash } from "@daisylock/core/crashes/target-crash.js";
import { isAddressVerified } from "@daisylock/core/targets/is-address-verified.js";
import { isTargetChanged } from "@daisylock/core/targets/is-target-changed.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import { leaderCallSchemas } from "@daisylock/protocol/fleet/leader-call-schemas.js";
import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import type { ReportReply } from "@daisylock/protocol/fleet/report-reply.js";
import type { TargetLeave } from "@daisylock/protocol/fleet/target-leave.js";
import * as v from "valibot";

import { clockAheadMarginMs } from "@daisylock/core/targets/clock-ahead-margin-ms.js";
import type { Clock } from "../../clock/clock.js";
import type { FaultListener } from "../../containment/fault-listener.js";
import { runContained } from "../../containment/run-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import { ClaimOutcome } from "./claim-outcome.js";
import { compareReports } from "./compare-reports.js";
import type { Leadership } from "./leadership.js";
import { recordPoisonTasks } from "./record-poison-tasks.js";
import type { ReportMark } from "./report-mark.js";
import { ReportOrder } from "./report-order.js";
import { reportTimeoutMs } from "./report-timeout-ms.js";
import type { TargetClaimVerifier } from "./target-claim-verifier.js";
import type { TargetSessions } from "./target-sessions.js";

/** Age of a heartbeat from which its claim is not believed, as the target has sent others meanwhile, milliseconds. */
const maxClaimAgeMs = 10_000;

/** Latest heartbeat of one target incarnation. */
interface LatestReport extends ReportMark {
    readonly incarnation: number;
    /** When the heartbeat arrived, monotonic milliseconds. */
    readonly at: number;
    /** Whether the heartbeat is committed or needed no commit. A repeat of one that is not has to be committed too. */
    readonly isRecorded: boolean;
}

/**
 * Handles heartbeats of targets, on the leader. Anyone may send one, so that a heartbeat that would record a target, or
 * displace one that is recorded, only tells where to ask; the answer of the target decides.
 */
export class TargetReportHandler {
    private readonly latestReports = new Map<string, LatestReport>();
    private readonly noteFault: FaultListener;

    /**
     * @param leadership - leadership state of this process
     * @param clock - clock for the arrival of heartbeats
     * @param log - decision log
     * @param startScheduling - called when a target has changed
     * @param sessions - sessions of the targets, which know the runs on an incarnation that is replaced or leaves
     * @param claims - asks targets whether they are where a heartbeat claims
     */
    constructor(
        private readonly leadership: Leadership,
        private readonly clock: Clock,
        private readonly log: Pick<DecisionLog, "record">,
        private readonly startScheduling: () => void,
        private readonly sessions: Pick<
            TargetSessions,
            "collectCrashedRuns" | "findAnsweredClock" | "noteLeaving" | "noteRunEnds"
        >,
        private readonly claims: Pick<TargetClaimVerifier, "readAnswer" | "verifyClaim">,
    ) {
        this.noteFault = createFaultListener(log);
    }

    /**
     * Handles a heartbeat. A change is committed before the heartbeat is acknowledged, so that no later leader starts a
     * task on a target that was told it may leave.
     * @param report - the heartbeat
     * @returns whether it was the newest, or a not-leader reply
     */
    handleReport(report: TargetReport): Promise<LeaderReply<ReportReply>> {
        return this.leadership.serveCall(() => this.computeReply(report));
    }

    /**
     * Handles heartbeats that another keeper has collected. Those that are malformed, ask for a commit or make a claim are
     * left out, so that none waits for another.
     * @param request - the heartbeats
     * @returns the replies in the order of the heartbeats, or a not-leader reply
     */
    handleReports({ reports }: LeaderCalls["reports"]["request"]): Promise<
        LeaderReply<LeaderCalls["reports"]["reply"]>
    > {
        return this.leadership.serveCall(async () => {
            const replies: { reply: ReportReply | undefined }[] = [];
            for (const report of reports) {
                const isHandledAtOnce = v.is(leaderCallSchemas.report, report)
                    && !isTargetChanged(this.readRecord(report.record.id), report.record);
                const reply = isHandledAtOnce
                    ? await runContained(
                        this.noteFault,
                        { work: WorkKind.PeerRequest, subject: report.record.id },
                        () => this.computeReply(report),
                        () => undefined,
                    )
                    : undefined;
                replies.push({ reply });
            }
            return { replies };
        });
    }

    /** Returns `undefined` when the report may not have been committed. */
    private async computeReply(report: TargetReport): Promise<ReportReply | undefined> {
        const { record } = report;
        const isNewClaim = isClaim(this.readRecord(record.id), record);
        const isProven = this.isPoolKnown(record, this.readRecord(record.id)) && this.isClockPossible(report)
            && (!isNewClaim || (await this.isClaimConfirmed(report) && !this.isAddressHeld(record)));
        if (!isProven) {
            return this.refuseReport(record);
        }
        const order = this.computeOrder(report, isNewClaim);
        if (order === ReportOrder.Outdated) {
            return { isNewest: false };
        }
        return this.isPlaceKept(record, this.readRecord(record.id))
            ? this.recordReport(report, isNewClaim || order === ReportOrder.NewestByClock)
            : this.refuseReport(record);
    }

    /** A target that believes its drain to be acknowledged expects no further starts. */
    private refuseReport({ id, state }: TargetRecord): ReportReply {
        const known = this.readRecord(id);
        const isRepeatNeeded = state === ReportedTargetState.Draining && known?.state === ReportedTargetState.Ready;
        return isRepeatNeeded ? { isNewest: false, isRepeatNeeded } : { isNewest: false };
    }

    /**
     * Handles the deregistration of a target. It may be delayed until a newer incarnation runs under the same id, or come
     * from an untrusted sender, and tasks that still run must not be started elsewhere. It is believed when the address
     * refuses connections. The runs of a target that has not drained, or of which no incarnation is named, end with their
     * lease only.
     * @param request - id of the target and the incarnation that is leaving
     * @returns whether that incarnation was known and has left, or a not-leader reply
     */
    handleLeave({ id, incarnation }: TargetLeave): Promise<LeaderReply<{ isKnown: boolean }>> {
        return this.leadership.serveCall(async () => {
            const known = this.readRecord(id);
            const isLeaving = incarnation === undefined
                ? known?.state === ReportedTargetState.Draining
                : known?.incarnation === incarnation;
            if (known === undefined || !isLeaving || !await this.isGone(known)) {
                return { isKnown: false };
            }
            const removal = await this.leadership.recordCommand({
                kind: CommandKind.RemoveTarget,
                id,
                incarnation: known.incarnation,
                atMs: this.clock.readWall(),
            });
            if (removal === undefined) {
                return undefined;
            }
            this.log.record(DecisionKind.TargetGone, {
                target: id,
                vm: known.vm,
                reason: "it announced that it is leaving",
            });
            this.sessions.noteRunEnds(removal.ends);
            this.latestReports.delete(id);
            this.startScheduling();
            return { isKnown: removal.isKnown };
        });
    }

    /** A target whose process has not ended yet is watched by its session. */
    private async isGone(known: TargetRecord): Promise<boolean> {
        const { outcome } = await this.claims.readAnswer(known);
        const hasRuns = (this.leadership.readFleet().targetLoads.get(known.id)?.runs.size ?? 0) > 0;
        // An address that was not verified may be another target's, and the runs be elsewhere.
        const isGone = (!hasRuns && outcome !== ClaimOutcome.Confirmed && outcome !== ClaimOutcome.Deferred)
            || (outcome === ClaimOutcome.Refuted && isAddressVerified(known))
            || (outcome === ClaimOutcome.Unreachable && known.state === ReportedTargetState.Draining);
        if (!isGone) {
            this.sessions.noteLeaving(known.id, known.incarnation);
            this.recordRefusal(
                known,
                outcome === ClaimOutcome.Confirmed
                    ? "a deregistration came, and the target still answers"
                    : "a deregistration came, and the target may be cut off with its tasks",
            );
        }
        return isGone;
    }

    /**
     * Finds the latest heartbeat of a target incarnation.
     * @param id - id of the target
     * @param incarnation - incarnation of the target
     * @returns the heartbeat, or `undefined` when this process has received none
     */
    findReport(id: string, incarnation: number): Omit<LatestReport, "isRecorded"> | undefined {
        const latest = this.latestReports.get(id);
        return latest?.incarnation === incarnation ? latest : undefined;
    }

    /** Returns `undefined` when the report may not have been committed. */
    private async recordReport(
        { record, sequence, clockMs }: TargetReport,
        isVerified: boolean,
    ): Promise<ReportReply | undefined> {
        const isChanged = isTargetChanged(this.readRecord(record.id), record);
        const latest: LatestReport = {
            incarnation: record.incarnation,
            sequence,
            at: this.clock.readMonotonic(),
            clockMs,
            isRecorded: !isChanged,
        };
        this.latestReports.set(record.id, latest);
        if (!isChanged) {
            return { isNewest: true };
        }
        const crashes = this.collectCrashes(record);
        const recording = await this.leadership.recordCommand({
            kind: CommandKind.RecordTarget,
            record,
            sequence,
            clockMs,
            isVerified,
            crashes,
            atMs: this.clock.readWall(),
        });
        if (recording === undefined) {
            return undefined;
        }
        const { isNewest, ends, poisonTasks } = recording;
        this.sessions.noteRunEnds(ends);
        recordPoisonTasks(this.log, poisonTasks, record.id);
        if (this.latestReports.get(record.id) === latest) {
            this.latestReports.set(record.id, { ...latest, isRecorded: true });
        }
        const kind = record.state === ReportedTargetState.Draining
            ? DecisionKind.TargetDraining
            : DecisionKind.TargetRecorded;
        this.log.record(kind, {
            target: record.id,
            incarnation: record.incarnation,
            address: record.address,
            vm: record.vm,
            pool: record.pool,
            sequence,
            newest: isNewest,
            crashes: isNewest && crashes.length > 0 ? crashes.length : undefined,
        });
        this.startScheduling();
        return { isNewest };
    }

    private async isClaimConfirmed({ record, clockMs }: TargetReport): Promise<boolean> {
        const known = this.readRecord(record.id);
        const answer = await this.claims.verifyClaim(
            record,
            known !== undefined && known.incarnation !== record.incarnation,
        );
        if (answer.outcome === ClaimOutcome.Refuted) {
            this.recordRefusal(record, "another target or incarnation answers at the address");
        }
        else if (answer.outcome === ClaimOutcome.Unanswered || answer.outcome === ClaimOutcome.Unreachable) {
            this.recordRefusal(record, "no answer at the address confirms it");
        }
        else if (answer.outcome === ClaimOutcome.Deferred) {
            this.recordRefusal(
                record,
                "the address is not asked yet: a recent question failed, or too many are in flight",
            );
        }
        if (answer.outcome !== ClaimOutcome.Confirmed) {
            return false;
        }
        if (answer.clockMs === undefined || clockMs === undefined) {
            return true;
        }
        const ageMs = answer.clockMs - clockMs;
        const isOfTarget = ageMs >= -clockAheadMarginMs && ageMs < maxClaimAgeMs;
        if (!isOfTarget) {
            this.recordRefusal(record, "its clock is not the one that the target answers with");
        }
        return isOfTarget;
    }

    /**
     * Tells whether a record at the address has runs and has not answered this leader. It may be wrong on a disk of an
     * earlier version, and its runs be elsewhere: its session removes it once their lease has expired.
     */
    private isAddressHeld(record: TargetRecord): boolean {
        const { targets, targetLoads } = this.leadership.readFleet();
        const holder = [...targets.values()].find(other =>
            other.id !== record.id && other.address === record.address && targetLoads.has(other.id)
            && !isAddressVerified(other)
            && this.sessions.findAnsweredClock(other.id, other.incarnation) === undefined
        );
        if (holder !== undefined) {
            this.recordRefusal(record, `the lease of ${holder.id} at the address has to expire first`);
        }
        return holder !== undefined;
    }

    /** Tells whether an incarnation whose clock the answers state can have sent a heartbeat with this reading. */
    private isClockPossible({ record, clockMs }: TargetReport): boolean {
        const clock = this.sessions.findAnsweredClock(record.id, record.incarnation);
        if (clock === undefined) {
            return true;
        }
        if (clockMs === undefined) {
            const isClockStated = this.findReport(record.id, record.incarnation)?.clockMs !== undefined;
            if (isClockStated) {
                this.recordRefusal(record, "it states no clock, as other heartbeats of the target do");
            }
            return !isClockStated;
        }
        const isAhead = clock.isAhead(clockMs, this.clock.readMonotonic());
        if (isAhead) {
            this.recordRefusal(record, "its clock is ahead of the one that the target answers with");
        }
        return !isAhead;
    }

    /**
     * An incarnation keeps its pool, its VM and its place, none of which an answer states. A heartbeat that differs is
     * believed once those that agree with the record have ceased, as the record may be of an untrusted sender.
     */
    private isPlaceKept(record: TargetRecord, known: TargetRecord | undefined): boolean {
        if (known?.incarnation !== record.incarnation || describePlace(known) === describePlace(record)) {
            return true;
        }
        const agreedAt = this.findReport(record.id, record.incarnation)?.at ?? this.leadership.readStartedAt();
        const isCeased = this.clock.readMonotonic() - agreedAt > reportTimeoutMs;
        if (!isCeased) {
            this.recordRefusal(record, "an incarnation keeps its pool, VM, zone and labels");
        }
        return isCeased;
    }

    private recordRefusal({ id, incarnation, pool, address }: TargetRecord, reason: string): void {
        this.log.record(DecisionKind.ReportRefused, { target: id, incarnation, pool, address, reason });
    }

    private readRecord(id: string): TargetRecord | undefined {
        return this.leadership.readFleet().targets.get(id);
    }

    /** Only the target itself may go on naming a pool that the configuration no longer has. */
    private isPoolKnown({ id, pool, address }: TargetRecord, known: TargetRecord | undefined): boolean {
        const { configuration } = this.leadership.readFleet();
        const isKnown = configuration === undefined || known?.pool === pool
            || configuration.pools.some(({ name }) => name === pool);
        if (!isKnown) {
            this.log.record(DecisionKind.ReportRefused, { target: id, pool, address, reason: "unknown pool" });
        }
        return isKnown;
    }

    /** Collects the crashes of the incarnations that a new one replaces: those under its id and at its address. */
    private collectCrashes(record: TargetRecord): TargetCrash[] {
        const fleet = this.leadership.readFleet();
        return [...fleet.targets.values()].filter(other =>
            other.id === record.id
                ? other.incarnation < record.incarnation && other.pool === record.pool
                : other.address === record.address
        ).filter(other => isEndUnplanned(fleet, other)).map(({ id }) => ({
            target: id,
            runs: this.sessions.collectCrashedRuns(id),
        }));
    }

    /** The record is compared too, as a report may have been delayed until another process leads. */
    private computeOrder(report: TargetReport, isNewClaim: boolean): ReportOrder {
        const { record, sequence, clockMs } = report;
        const latest = this.latestReports.get(record.id);
        const isSameIncarnation = latest?.incarnation === record.incarnation;
        if (latest?.isRecorded === false && !isSameIncarnation && !isNewClaim) {
            // An answer has confirmed the other incarnation, which is being committed.
            return ReportOrder.Outdated;
        }
        const isRepeat = isSameIncarnation && sequence === latest.sequence && clockMs === latest.clockMs;
        if (isRepeat && latest.isRecorded) {
            return ReportOrder.Outdated;
        }
        const known = this.readRecord(record.id);
        const marks: ReportMark[] = [
            ...isSameIncarnation ? [latest] : [],
            ...known?.incarnation === record.incarnation
                ? [{ sequence: known.reportSequence ?? 0, clockMs: known.reportClockMs }]
                : [],
        ];
        const clock = this.sessions.findAnsweredClock(record.id, record.incarnation);
        const orders = marks.map(mark => compareReports(report, mark, clock, this.clock.readMonotonic()));
        if (orders.includes(ReportOrder.Outdated)) {
            return ReportOrder.Outdated;
        }
        return orders.includes(ReportOrder.NewestByClock) ? ReportOrder.NewestByClock : ReportOrder.Newest;
    }
}

/** Describes what stays the same for the life of an incarnation and is not proven by its answers. */
function describePlace({ pool, vm, zone, rack, labels }: TargetRecord): string {
    return JSON.stringify([pool, vm, zone, rack, labels]);
}

/** Tells whether a report claims more than that the recorded incarnation is where it was. */
function isClaim(known: TargetRecord | undefined, { incarnation, address }: TargetRecord): boolean {
    return known?.incarnation !== incarnation || known.address !== address;
}
