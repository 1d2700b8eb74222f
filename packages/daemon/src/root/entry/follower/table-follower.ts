import { EventKind } from "@daisylock/core/events/event-kind.js";

import type { SyncReply } from "@daisylock/protocol/generated/peer.js";

import type { Clock } from "../../../clock/clock.js";
import { waitFor } from "../../../concurrency/wait-for.js";
import type { EventLog } from "../../../events/event-log.js";
import { MetricName } from "../../../metrics/metric-name.js";
import type { Metrics } from "../../../metrics/metrics.js";
import { PeriodicWorker } from "../../../supervision/periodic-worker.js";
import type { ControlClient } from "../../control/control-client.js";
import type { AdmissionDesk } from "../admission/admission-desk.js";
import type { EntryState } from "../entry-state.js";
import { applyAnnouncement } from "../targets/apply-announcement.js";
import type { TargetRegistry } from "../targets/target-registry.js";
import { applySyncReply } from "./apply-sync-reply.js";
import { buildReport } from "./build-report.js";
import type { PendingReport } from "./pending-report.js";

const syncTimeoutMs = 800;
const retryDelayMs = 100;
/** Allowances are confirmed soon, because others wait for what they free. */
const confirmDelayMs = 40;
const handBackExchanges = 3;
const handBackDelayMs = 100;

/** What the follower needs of its surroundings. */
interface FollowerSurroundings {
    readonly state: EntryState;
    readonly registry: TargetRegistry;
    readonly desk: AdmissionDesk;
    readonly control: ControlClient;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
}

/** Exchanges reports for tables, freshness and allowances with the leader. */
export class TableFollower extends PeriodicWorker {
    override readonly name = "table-follower";
    private isFull = true;
    private pending: PendingReport = { number: 0, usedMs: new Map() };
    private isPendingAcked = true;
    private knownVersion = 0;
    private wasFresh = false;

    /**
     * @param surroundings - the entry and the way to the leader
     */
    constructor(private readonly surroundings: FollowerSurroundings) {
        super(surroundings.clock);
    }

    /** Gives the leader the chance to take all allowances back before the process ends. */
    protected override *releaseAll(): Generator<unknown, void, unknown> {
        this.surroundings.state.isLeaving = true;
        for (let exchange = 0; exchange < handBackExchanges; exchange++) {
            yield* this.tick();
            yield* waitFor(new Promise<void>(resolve => this.surroundings.clock.schedule(handBackDelayMs, resolve)));
        }
    }

    /** Runs one exchange and returns the delay before the next, milliseconds. */
    protected override *tick(): Generator<unknown, number, unknown> {
        const { state, registry, control, clock } = this.surroundings;
        const askedAt = clock.readMonotonic();
        const version = registry.readVersion();
        this.openPending();
        const report = buildReport({
            state,
            registry,
            pending: this.pending,
            isFull: this.isFull,
            knownVersion: this.knownVersion,
            now: askedAt,
        });
        const result = yield* waitFor(control.sendOnce("sync", report, syncTimeoutMs));
        if (result.isErr) {
            this.noteFreshness();
            return retryDelayMs;
        }
        const reply = result.value;
        const revision = state.tables.revision;
        if (!applySyncReply(state, reply, this.pending)) {
            state.tables.digest = "";
            return 0;
        }
        this.applyOwnKnowledge(reply.slots.map(row => row.vm));
        state.freshness.noteConfirmed(askedAt);
        this.noteFreshness();
        this.noteRevision(revision);
        if (reply.needsFull) {
            this.isFull = true;
            return 0;
        }
        this.isFull = false;
        this.isPendingAcked = true;
        this.knownVersion = version;
        this.surroundings.desk.startWaiting();
        return this.readInterval(reply);
    }

    /** What a target told this entry itself is newer than what came back by way of the leader. */
    private applyOwnKnowledge(vms: readonly string[]): void {
        const { state, registry } = this.surroundings;
        for (const vm of vms) {
            const registration = registry.find(vm);
            if (registration !== undefined) {
                applyAnnouncement(state, registration);
            }
        }
    }

    /** A report that was not acknowledged is sent again with the same number and use. */
    private openPending(): void {
        if (!this.isPendingAcked) {
            return;
        }
        const usedMs = new Map<string, number>();
        for (const pool of this.surroundings.state.admission.pools.values()) {
            for (const queue of pool.queues.values()) {
                if (queue.unreportedMs !== 0) {
                    usedMs.set(`${pool.name}/${queue.team}`, queue.unreportedMs);
                }
            }
        }
        this.pending = { number: this.pending.number + 1, usedMs };
        this.isPendingAcked = false;
    }

    private readInterval(reply: SyncReply): number {
        if (reply.slots.length > 0 || reply.teams.length > 0) {
            return confirmDelayMs;
        }
        const { admission, settings, lostHolders } = this.surroundings.state;
        const isBusy = !reply.isSettled || admission.waiting > 0 || lostHolders.length > 0
            || [...admission.teams.values()].some(limit => limit.inUse > 0);
        return isBusy ? settings.limits.sync_interval_ms : settings.limits.idle_sync_interval_ms;
    }

    private noteFreshness(): void {
        const { state, events, metrics } = this.surroundings;
        const isFresh = state.freshness.isFresh();
        if (isFresh !== this.wasFresh) {
            events.record(isFresh ? EventKind.FreshnessRegained : EventKind.FreshnessLost);
            this.wasFresh = isFresh;
        }
        if (Number.isFinite(state.freshness.readAge())) {
            metrics.setLevel(MetricName.FreshnessAge, state.freshness.readAge());
        }
    }

    private noteRevision(before: number): void {
        const { state, events, metrics } = this.surroundings;
        if (state.tables.revision !== before) {
            events.record(EventKind.TablesApplied, { revision: state.tables.revision });
            metrics.setLevel(MetricName.TableRevision, state.tables.revision);
        }
    }
}
