import canonicalize from "canonicalize";
import { createHash } from "node:crypto";

import { applyTableUpdate } from "../tables/apply-table-update.js";
import { checkEdits } from "../tables/check-edits.js";
import { computeTableDigest } from "../tables/compute-table-digest.js";
import type { TableEdit } from "../tables/table-edit.js";
import { ChangeOutcome } from "./change-outcome.js";
import type { ChangeResult } from "./change-result.js";
import type { ChangeTablesCommand } from "./change-tables-command.js";
import type { ControlState } from "./control-state.js";

/** Largest number of results stored for repeated change ids: six days at the design load of 1,700 changes a day. */
const maxStoredChanges = 10_000;
/** Largest number of updates kept for copies of the tables that lag; a copy that is further behind needs a snapshot. */
const maxRecentUpdates = 256;

/**
 * Applies all edits of a change of the tables, or refuses the change with the reason.
 * @param state - the replicated state, changed in place
 * @param command - the change with its edits
 * @returns the result; the stored one, also of a refusal, when the change id was used before with the same content
 */
export function applyChangeTables(state: ControlState, command: ChangeTablesCommand): ChangeResult {
    const contentDigest = computeContentDigest(command);
    const storedChange = state.changes.get(command.changeId);
    if (storedChange !== undefined) {
        return storedChange.contentDigest === contentDigest
            ? storedChange.result
            : { outcome: ChangeOutcome.IdReused, revision: state.tables.revision };
    }
    const result = runChange(state, command);
    state.changes.set(command.changeId, { contentDigest, result });
    dropOldest(state.changes, maxStoredChanges);
    return result;
}

function computeContentDigest(command: ChangeTablesCommand): string {
    const content = { base: command.baseRevision, edits: command.edits };
    const text = canonicalize(JSON.parse(JSON.stringify(content))) ?? "";
    return createHash("sha256").update(text).digest("hex").slice(0, 32);
}

function runChange(state: ControlState, command: ChangeTablesCommand): ChangeResult {
    const revision = state.tables.revision;
    const winner = findConflict(state, command);
    if (winner !== undefined) {
        return { outcome: ChangeOutcome.Conflict, revision, winner };
    }
    const faults = checkEdits(state.tables, command.edits);
    if (faults.length > 0) {
        return { outcome: ChangeOutcome.Invalid, revision, faults };
    }
    applyEdits(state, command.edits);
    return { outcome: ChangeOutcome.Accepted, revision: state.tables.revision };
}

function findConflict(state: ControlState, command: ChangeTablesCommand): ChangeResult["winner"] {
    const { tables } = state;
    if (command.baseRevision !== undefined && command.baseRevision !== tables.revision) {
        return findWinner(state, "tables", tables.revision);
    }
    for (const edit of command.edits) {
        const currentRevision = tables.objects[edit.kind].get(edit.name)?.revision ?? 0;
        if (edit.ifRevision !== undefined && edit.ifRevision !== currentRevision) {
            return findWinner(state, `${edit.kind}/${edit.name}`, currentRevision);
        }
    }
    return undefined;
}

/** Finds the change that produced a revision; its id is empty when its result is no longer stored. */
function findWinner(state: ControlState, object: string, revision: number): ChangeResult["winner"] {
    for (const [changeId, { result }] of state.changes) {
        if (result.outcome === ChangeOutcome.Accepted && result.revision === revision) {
            return { changeId, object, revision };
        }
    }
    return { changeId: "", object, revision };
}

function applyEdits(state: ControlState, edits: readonly TableEdit[]): void {
    const { tables } = state;
    const revision = tables.revision + 1;
    const stored = edits.map(edit => ({ ...edit, ifRevision: undefined }));
    const update = { revision, digest: computeTableDigest(tables.digest, revision, stored), edits: stored };
    applyTableUpdate(tables, update);
    state.recentUpdates.push(update);
    if (state.recentUpdates.length > maxRecentUpdates) {
        state.recentUpdates.shift();
    }
}

function dropOldest(map: Map<string, unknown>, limit: number): void {
    for (const key of map.keys()) {
        if (map.size <= limit) {
            return;
        }
        map.delete(key);
    }
}
