import { applySlotAllowance } from "@daisylock/core/admission/apply-slot-allowance.js";
import { applyVirtualTime } from "@daisylock/core/admission/apply-virtual-time.js";
import type { TargetSlots } from "@daisylock/core/admission/target-slots.js";
import { assertInvariant } from "@daisylock/core/invariants/assert-invariant.js";
import { Invariant } from "@daisylock/core/invariants/invariant.js";
import { applyTableUpdate } from "@daisylock/core/tables/apply-table-update.js";
import { decodeTables } from "@daisylock/core/tables/decode-tables.js";
import type { TableUpdate } from "@daisylock/core/tables/table-update.js";
import type { SyncReply } from "@daisylock/protocol/generated/peer.js";

import type { EntryState } from "../entry-state.js";
import type { PendingReport } from "./pending-report.js";

/**
 * Applies the tables or table updates of a leader's reply.
 * @param state - state of the entry
 * @param reply - the reply
 * @returns false when the updates do not apply to the local tables, which must then be fetched in full
 */
function applyTables(state: EntryState, reply: SyncReply): boolean {
    if (reply.tables !== undefined) {
        const tables = decodeTables(reply.tables);
        assertInvariant(
            tables.revision >= state.tables.revision,
            Invariant.RevisionNeverDecreases,
            () => `table revision ${tables.revision} would replace newer revision ${state.tables.revision}`,
        );
        state.tables = tables;
        return true;
    }
    return reply.updates.every(text => applyTableUpdate(state.tables, JSON.parse(text) as TableUpdate));
}

/**
 * Applies a leader's reply to the entry.
 * @param state - state of the entry
 * @param reply - the reply
 * @param pending - the report that the reply acknowledges
 * @returns false when the table updates do not apply, so that the tables must be fetched in full
 */
export function applySyncReply(state: EntryState, reply: SyncReply, pending: PendingReport): boolean {
    if (!applyTables(state, reply)) {
        return false;
    }
    if (reply.tables !== undefined || reply.updates.length > 0) {
        applyTablesToAdmission(state);
    }
    if (reply.needsFull) {
        state.session = reply.session;
        return true;
    }
    applyAllowances(state, reply);
    for (const row of reply.shares) {
        const reportedMs = pending.usedMs.get(`${row.pool}/${row.team}`) ?? 0;
        applyVirtualTime(state.admission, row.pool, row.team, row.virtualMs, reportedMs);
    }
    state.session = reply.session;
    state.seenSequence = reply.sequence;
    state.lostHolders = reply.lostHolders;
    state.releasedTargets = new Set(reply.releasedTargets);
    return true;
}

/** Updates admission control after a change of tables: shares may differ, and VMs may have been moved or removed. */
function applyTablesToAdmission(state: EntryState): void {
    const { admission, tables } = state;
    for (const [team, { value }] of tables.objects.team) {
        admission.shares.set(team, value.share);
    }
    for (const target of admission.targets.values()) {
        const record = tables.objects.vm.get(target.vm)?.value;
        if (record === undefined) {
            target.allowed = 0;
        }
        else if (record.pool !== target.pool || record.zone !== target.zone) {
            applySlotAllowance(admission, { ...pickAllowance(target), pool: record.pool, zone: record.zone });
        }
    }
}

function pickAllowance(target: TargetSlots): Parameters<typeof applySlotAllowance>[1] {
    const { vm, pool, zone, incarnation, address, state, allowed } = target;
    return { vm, pool, zone, incarnation, address, state, allowed };
}

function applyAllowances(state: EntryState, reply: SyncReply): void {
    const { admission, tables } = state;
    for (const { team, allowed } of reply.teams) {
        const limit = admission.teams.get(team);
        admission.teams.set(team, { allowed, inUse: limit?.inUse ?? 0 });
    }
    for (const row of reply.slots) {
        const record = tables.objects.vm.get(row.vm)?.value;
        applySlotAllowance(admission, { ...row, pool: record?.pool ?? "", zone: record?.zone ?? "" });
    }
}
