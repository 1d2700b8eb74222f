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
/** Time between two looks whether this keeper leads by now. */
const followerIntervalMs = 250;

/** Gives out slots and parts of the teams' limits while this process's keeper leads. */
export class Allocator extends PeriodicWorker {
    override readonly name = "allocator";
    private allocationState: AllocationState | undefined;

    /**
     * @param keeper - the keeper of this process
     * @param clock - time
     * @param events - where entries that come and go are recorded
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
     * Answers an entry's report.
     * @param request - the report
     * @returns tables and allowances, or `undefined` when this keeper may not decide
     */
    handleSync(request: SyncRequest): SyncReply | undefined {
        const leader = this.findOrCreateAllocationState();
        if (leader === undefined) {
            return undefined;
        }
        const reply = SyncReply.fromPartial({ session: leader.session, reportNumber: request.reportNumber });
        this.addTables(reply, request);
        const isKnown = request.isFull || (request.session === leader.session && leader.entries.has(request.entry));
        if (!isKnown) {
            reply.needsFull = true;
            return reply;
        }
        this.recordJoin(leader, request);
        receiveEntryReport(leader, request, this.clock.readMonotonic());
        Object.assign(reply, readAllowances(leader, request));
        return reply;
    }

    /**
     * Reads the leader's view, for status pages.
     * @returns the view, or `undefined` when this keeper may not decide
     */
    readAllocationState(): AllocationState | undefined {
        return this.findOrCreateAllocationState();
    }

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
        const leader = this.findOrCreateAllocationState();
        const now = this.clock.readMonotonic();
        if (leader === undefined || now - leader.startedAt < allocationTiming.warmUpMs) {
            return;
        }
        for (const entry of dropUnresponsiveEntries(leader, now)) {
            this.events.record(EventKind.EntryDropped, { detail: entry });
        }
        updateCapacities(leader);
        planSlots(leader, now);
        const grants = planTeamGrants(leader, this.keeper.readControl().grants, now);
        if (grants.length === 0) {
            return;
        }
        const result = yield* waitFor(this.keeper.sendCommand({ kind: CommandKind.SetGrants, grants }));
        if (result.isOk && this.allocationState === leader) {
            applyTeamGrants(leader, result.value);
        }
        else {
            grants.forEach(grant => leader.staleTeams.add(grant.team));
        }
    }

    private recordJoin(leader: AllocationState, request: SyncRequest): void {
        if (!leader.entries.has(request.entry)) {
            this.events.record(EventKind.EntryJoined, { detail: `${request.entry} in ${request.zone}` });
        }
    }

    private addTables(reply: SyncReply, request: SyncRequest): void {
        const { tables, recentUpdates } = this.keeper.readControl();
        reply.revision = tables.revision;
        const missing = listMissingUpdates(tables, recentUpdates, request);
        if (missing === undefined) {
            reply.tables = encodeTables(tables);
            return;
        }
        reply.updates = missing.map(update => JSON.stringify(update));
    }
}

/** Lists the updates after an entry's copy, or `undefined` when only a whole copy helps. */
function listMissingUpdates(
    tables: Tables,
    recent: readonly TableUpdate[],
    request: SyncRequest,
): TableUpdate[] | undefined {
    if (request.revision === tables.revision) {
        return request.digest === tables.digest ? [] : undefined;
    }
    const position = recent.findIndex(update => update.revision === request.revision + 1);
    const before = request.revision === 0 ? "" : recent[position - 1]?.digest;
    return position < 0 || before !== request.digest ? undefined : recent.slice(position);
}
