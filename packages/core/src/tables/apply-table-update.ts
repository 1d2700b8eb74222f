import { computeTableDigest } from "./compute-table-digest.js";
import type { TableEdit } from "./table-edit.js";
import type { TableObject } from "./table-object.js";
import type { TableUpdate } from "./table-update.js";
import type { Tables } from "./tables.js";

/**
 * Applies an accepted change to a copy of the tables, after verifying that its revision and digest follow those of the
 * copy.
 * @param tables - the copy, changed in place
 * @param update - the accepted change
 * @returns false when the update does not follow the state of the copy, which then needs a snapshot
 */
export function applyTableUpdate(tables: Tables, update: TableUpdate): boolean {
    if (update.revision !== tables.revision + 1) {
        return false;
    }
    if (computeTableDigest(tables.digest, update.revision, update.edits) !== update.digest) {
        return false;
    }
    for (const edit of update.edits) {
        applyEdit(tables, edit, update.revision);
    }
    tables.revision = update.revision;
    tables.digest = update.digest;
    return true;
}

function applyEdit(tables: Tables, edit: TableEdit, revision: number): void {
    const objects = tables.objects[edit.kind] as Map<string, TableObject>;
    if (edit.value === undefined) {
        objects.delete(edit.name);
        return;
    }
    objects.set(edit.name, { name: edit.name, revision, value: edit.value });
}
