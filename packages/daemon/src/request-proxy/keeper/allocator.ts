import type { AllocationState } from "@daisylock/core/allocation/allocation-state.js";
import { allocationTiming } from "@daisylock/core/allocation/allocation-timing.js";
import { applyTeamGrants } from "@daisylock/core/allocation/apply-team-grants.js";
import { createAllocationState } from "@daisylock/core/allocation/create-allocation-state.js";
import { dropUnresponsiveEntries } from "@daisylock/core/allocation/drop-unresponsive-entries.js";
import { planSlots } from "@daisylock/core/allocation/plan-slots.js";
import { planTeamGrants } from "@daisylock/core/allocation/plan-team-grants.js";
import { readAllowances } from "@daisylock/core/allocation/read-allowances.js";
import { receiveEntryReport } from "@daisylock/core/allocation/receive-entry-report.js";
import { updateCapacities } from "@daisylock/core/allocation/update-capacities.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import { encodeTables } from "@daisylock/core/tables/encode-tables.js";
import type { TableUpdate } from "@daisylock/core/tables/table-update.js";
import type { Tables } from "@daisylock/core/tables/tables.js";
import { SyncReply, type SyncRequest } from "@daisylock/protocol/generated/peer.js";

import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import type { EventLog } from "../../events/event-log.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import type { Keeper } from "./keeper.js";

const planIntervalMs = 50;
/** Interval at which a keeper that is not the leader checks whether it has become the leader. */
const followerIntervalMs = 250;

/** Allocates slots and grants of the teams' limits to the entries while the keeper of this process is the leader. */
export class Allocator extends PeriodicWorker {
    override readonly name = "allocator";
    private allocationState: AllocationState | undefined;

    /**
     * @param keeper - the keeper of this process
     * @param clock - clock for intervals and report times
     * @param events - log that records when entries join and are dropped
     */
    constructor(
        private readonly keeper: Keeper,
        clock: Clock,
        private readonly events: EventLog,
    ) {
        super(clock);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        yield* this.plan();
        return this.keeper.isActiveLeader() ? planIntervalMs : followerIntervalMs;
    }

    /**
     * Handles a report of an entry.
     * @param request - the report
     * @returns table updates and allowances, or `undefined` when this keeper is not the active leader
     */
    handleSync(request: SyncRequest): SyncReply | undefined {
        const state = this.findOrCreateAllocationState();
        if (state === undefined) {
            return undefined;
        }
        const reply = SyncReply.fromPartial({ session: state.session, reportNumber: request.reportNumber });
        this.addTables(reply, request);
        const isKnown = request.isFull || (request.session === state.session && state.entries.has(request.entry));
        if (!isKnown) {
            reply.needsFull = true;
            return reply;
        }
        this.recordJoin(state, request);
        receiveEntryReport(state, request, this.clock.readMonotonic());
        Object.assign(reply, readAllowances(state, request));
        return reply;
    }

    /**
     * Reads the allocation state for operator requests and reboot waves.
     * @returns the state, or `undefined` when this keeper is not the active leader
     */
    readAllocationState(): AllocationState | undefined {
        return this.findOrCreateAllocationState();
    }

    /**
     * Returns the state of the current term, or `undefined` when this keeper is not the active leader. A new leader
     * starts from the tables and the committed grants.
     */
    private findOrCreateAllocationState(): AllocationState | undefined {
        if (!this.keeper.isActiveLeader()) {
            return undefined;
        }
        const view = this.keeper.readView();
        const session = `${view?.id ?? ""}/${view?.term ?? 0}`;
        if (this.allocationState?.session !== session) {
            const control = this.keeper.readControl();
            this.allocationState = createAllocationState(
                session,
                control.tables,
                control.grants,
                this.clock.readMonotonic(),
            );
        }
        return this.allocationState;
    }

    private *plan(): Generator<unknown, void, unknown> {
        const state = this.findOrCreateAllocationState();
        const now = this.clock.readMonotonic();
        if (state === undefined || now - state.startedAt < allocationTiming.warmUpMs) {
            return;
        }
        for (const entry of dropUnresponsiveEntries(state, now)) {
            this.events.record(EventKind.EntryDropped, { detail: entry });
        }
        updateCapacities(state);
        planSlots(state, now);
        const grants = planTeamGrants(state, this.keeper.readControl().grants, now);
        if (grants.length === 0) {
            return;
        }
        const result = yield* waitFor(this.keeper.sendCommand({ kind: CommandKind.SetGrants, grants }));
        if (result.isOk && this.allocationState === state) {
            applyTeamGrants(state, result.value);
        }
        else {
            grants.forEach(grant => state.staleTeams.add(grant.team));
        }
    }

    private recordJoin(state: AllocationState, request: SyncRequest): void {
        if (!state.entries.has(request.entry)) {
            this.events.record(EventKind.EntryJoined, { detail: `${request.entry} in ${request.zone}` });
        }
    }

    private addTables(reply: SyncReply, request: SyncRequest): void {
        const { tables, recentUpdates } = this.keeper.readControl();
        reply.revision = tables.revision;
        const missingUpdates = listMissingUpdates(tables, recentUpdates, request);
        if (missingUpdates === undefined) {
            reply.tables = encodeTables(tables);
            return;
        }
        reply.updates = missingUpdates.map(update => JSON.stringify(update));
    }
}

/**
 * Lists the updates that an entry's copy of the tables lacks.
 * @returns `undefined` when the copy cannot be brought up to date by updates and needs the complete tables
 */
function listMissingUpdates(
    tables: Tables,
    recentUpdates: readonly TableUpdate[],
    request: SyncRequest,
): TableUpdate[] | undefined {
    if (request.revision === tables.revision) {
        return request.digest === tables.digest ? [] : undefined;
    }
    const position = recentUpdates.findIndex(update => update.revision === request.revision + 1);
    const previousDigest = request.revision === 0 ? "" : recentUpdates[position - 1]?.digest;
    return position < 0 || previousDigest !== request.digest ? undefined : recentUpdates.slice(position);
}
