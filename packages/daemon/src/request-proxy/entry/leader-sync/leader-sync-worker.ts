import { EventKind } from "@daisylock/core/events/event-kind.js";

import type { SyncReply } from "@daisylock/protocol/generated/peer.js";

import type { Clock } from "../../../clock/clock.js";
import { waitFor } from "../../../concurrency/wait-for.js";
import type { EventLog } from "../../../events/event-log.js";
import { MetricName } from "../../../metrics/metric-name.js";
import type { Metrics } from "../../../metrics/metrics.js";
import { PeriodicWorker } from "../../../supervision/periodic-worker.js";
import type { LeaderRpcClient } from "../../leader-client/leader-rpc-client.js";
import type { AdmissionController } from "../admission/admission-controller.js";
import type { EntryState } from "../entry-state.js";
import { applyAnnouncement } from "../targets/apply-announcement.js";
import type { TargetRegistry } from "../targets/target-registry.js";
import { applySyncReply } from "./apply-sync-reply.js";
import { buildSyncRequest } from "./build-sync-request.js";
import type { PendingReport } from "./pending-report.js";

const syncTimeoutMs = 800;
const retryDelayMs = 100;
/** Delay before confirming changed allowances, milliseconds; short because other entries wait for the freed slots. */
const confirmDelayMs = 40;
/** Number of syncs before a leaving entry stops, so that the leader can revoke its allowances. */
const releaseSyncCount = 3;
const releaseSyncDelayMs = 100;

/** Dependencies of the worker. */
interface LeaderSyncDependencies {
    readonly state: EntryState;
    readonly registry: TargetRegistry;
    readonly admissionController: AdmissionController;
    readonly leaderClient: LeaderRpcClient;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
}

/** Syncs with the leader: sends reports, and applies the tables and allowances of the replies. */
export class LeaderSyncWorker extends PeriodicWorker {
    override readonly name = "table-follower";
    /** Whether the next report is complete rather than incremental. */
    private isFull = true;
    private pendingReport: PendingReport = { number: 0, usedMs: new Map() };
    private isPendingAcked = true;
    /** Newest registry version that the leader has acknowledged. */
    private ackedVersion = 0;
    private wasFresh = false;

    /**
     * @param dependencies - components of the entry and the client for the leader
     */
    constructor(private readonly dependencies: LeaderSyncDependencies) {
        super(dependencies.clock);
    }

    /** Reports that this entry is leaving, so that the leader can revoke all allowances before the process ends. */
    protected override *releaseResources(): Generator<unknown, void, unknown> {
        this.dependencies.state.isLeaving = true;
        for (let sync = 0; sync < releaseSyncCount; sync++) {
            yield* this.tick();
            yield* waitFor(new Promise<void>(resolve => this.dependencies.clock.schedule(releaseSyncDelayMs, resolve)));
        }
    }

    /** Runs one sync and returns the delay before the next, milliseconds. */
    protected override *tick(): Generator<unknown, number, unknown> {
        const { state, registry, leaderClient, clock } = this.dependencies;
        const requestedAt = clock.readMonotonic();
        const version = registry.readVersion();
        this.updatePendingReport();
        const report = buildSyncRequest({
            state,
            registry,
            pending: this.pendingReport,
            isFull: this.isFull,
            ackedVersion: this.ackedVersion,
            now: requestedAt,
        });
        const result = yield* waitFor(leaderClient.sendOnce("sync", report, syncTimeoutMs));
        if (result.isErr) {
            this.reportFreshness();
            return retryDelayMs;
        }
        const reply = result.value;
        const revision = state.tables.revision;
        if (!applySyncReply(state, reply, this.pendingReport)) {
            // A digest that matches no revision makes the leader send the full tables.
            state.tables.digest = "";
            return 0;
        }
        this.applyLocalAnnouncements(reply.slots.map(row => row.vm));
        state.freshness.recordConfirmation(requestedAt);
        this.reportFreshness();
        this.reportRevision(revision);
        if (reply.needsFull) {
            this.isFull = true;
            return 0;
        }
        this.isFull = false;
        this.isPendingAcked = true;
        this.ackedVersion = version;
        this.dependencies.admissionController.startQueuedRequests();
        return this.computeSyncInterval(reply);
    }

    /** Applies announcements that this entry received itself; they are newer than the state that the leader returned. */
    private applyLocalAnnouncements(vms: readonly string[]): void {
        const { state, registry } = this.dependencies;
        for (const vm of vms) {
            const target = registry.find(vm);
            if (target !== undefined) {
                applyAnnouncement(state, target);
            }
        }
    }

    /**
     * Starts a new report once the last one is acknowledged. An unacknowledged report is resent with the same number and
     * slot time, so that the leader counts the slot time only once.
     */
    private updatePendingReport(): void {
        if (!this.isPendingAcked) {
            return;
        }
        const usedMs = new Map<string, number>();
        for (const pool of this.dependencies.state.admission.pools.values()) {
            for (const queue of pool.queues.values()) {
                if (queue.unreportedMs !== 0) {
                    usedMs.set(`${pool.name}/${queue.team}`, queue.unreportedMs);
                }
            }
        }
        this.pendingReport = { number: this.pendingReport.number + 1, usedMs };
        this.isPendingAcked = false;
    }

    private computeSyncInterval(reply: SyncReply): number {
        if (reply.slots.length > 0 || reply.teams.length > 0) {
            return confirmDelayMs;
        }
        const { admission, settings, lostHolders } = this.dependencies.state;
        const isBusy = !reply.isSettled || admission.waiting > 0 || lostHolders.length > 0
            || [...admission.teams.values()].some(limit => limit.inUse > 0);
        return isBusy ? settings.limits.sync_interval_ms : settings.limits.idle_sync_interval_ms;
    }

    private reportFreshness(): void {
        const { state, events, metrics } = this.dependencies;
        const isFresh = state.freshness.isFresh();
        if (isFresh !== this.wasFresh) {
            events.record(isFresh ? EventKind.FreshnessRegained : EventKind.FreshnessLost);
            this.wasFresh = isFresh;
        }
        if (Number.isFinite(state.freshness.readAge())) {
            metrics.setGauge(MetricName.FreshnessAge, state.freshness.readAge());
        }
    }

    private reportRevision(before: number): void {
        const { state, events, metrics } = this.dependencies;
        if (state.tables.revision !== before) {
            events.record(EventKind.TablesApplied, { revision: state.tables.revision });
            metrics.setGauge(MetricName.TableRevision, state.tables.revision);
        }
    }
}
