import { EditFaultCode } from "./edit-fault-code.js";
import type { EditFault } from "./edit-fault.js";
import { ObjectKind } from "./object-kind.js";
import type { TableEdit } from "./table-edit.js";
import type { Tables } from "./tables.js";

const namePattern = /^[a-z0-9][a-z0-9._-]{0,62}$/;

/**
 * Validates a change: names, values and references between objects.
 * @param tables - the tables before the change
 * @param edits - the edits of the change
 * @returns all validation errors; empty when the change is valid
 */
export function checkEdits(tables: Tables, edits: readonly TableEdit[]): EditFault[] {
    const after = new EditedTables(tables, edits);
    return edits.flatMap(edit => checkEdit(after, tables, edit));
}

function checkEdit(after: EditedTables, before: Tables, edit: TableEdit): EditFault[] {
    if (!namePattern.test(edit.name)) {
        return [buildFault(edit, EditFaultCode.InvalidName, `must match ${namePattern.source}`)];
    }
    if (edit.value === undefined) {
        return checkRemoval(after, before, edit);
    }
    return checkReferences(after, edit);
}

function checkRemoval(after: EditedTables, before: Tables, edit: TableEdit): EditFault[] {
    if (!before.objects[edit.kind].has(edit.name)) {
        return [buildFault(edit, EditFaultCode.NotFound, `${edit.kind} does not exist`)];
    }
    const referrer = after.findReferrer(edit.kind, edit.name);
    return referrer === undefined ? [] : [buildFault(edit, EditFaultCode.InUse, `still used by ${referrer}`)];
}

function checkReferences(after: EditedTables, edit: TableEdit): EditFault[] {
    if (edit.value === undefined) {
        return [];
    }
    switch (edit.kind) {
        case ObjectKind.Route:
        case ObjectKind.Key:
            return after.isPresent(ObjectKind.Team, edit.value.team)
                ? []
                : [buildFault(edit, EditFaultCode.UnknownTeam, `team "${edit.value.team}" does not exist`)];
        case ObjectKind.Vm:
            return after.isPresent(ObjectKind.Pool, edit.value.pool)
                ? []
                : [buildFault(edit, EditFaultCode.UnknownPool, `pool "${edit.value.pool}" does not exist`)];
        case ObjectKind.Team:
            return edit.value.share > 0 && edit.value.upperLimit >= 0
                ? []
                : [buildFault(edit, EditFaultCode.InvalidValue, "share must be above 0 and upperLimit at least 0")];
        case ObjectKind.Pool:
            return [];
    }
}

function buildFault(edit: TableEdit, code: EditFaultCode, detail: string): EditFault {
    return { kind: edit.kind, name: edit.name, code, detail };
}

/** A view of the tables after the edits, without copying them. */
class EditedTables {
    private readonly edited = new Map<string, TableEdit>();

    constructor(private readonly tables: Tables, edits: readonly TableEdit[]) {
        for (const edit of edits) {
            this.edited.set(`${edit.kind}/${edit.name}`, edit);
        }
    }

    isPresent(kind: ObjectKind, name: string): boolean {
        const edit = this.edited.get(`${kind}/${name}`);
        return edit === undefined ? this.tables.objects[kind].has(name) : edit.value !== undefined;
    }

    /** Finds an object that refers to the given one; returns its kind and name, `undefined` for none. */
    findReferrer(kind: ObjectKind, name: string): string | undefined {
        if (kind === ObjectKind.Team) {
            return this.findReference(ObjectKind.Route, "team", name)
                ?? this.findReference(ObjectKind.Key, "team", name);
        }
        return kind === ObjectKind.Pool ? this.findReference(ObjectKind.Vm, "pool", name) : undefined;
    }

    private findReference(kind: ObjectKind, field: "team" | "pool", name: string): string | undefined {
        for (const object of this.tables.objects[kind].values()) {
            const edit = this.edited.get(`${kind}/${object.name}`);
            const value = edit === undefined ? object.value : edit.value;
            if (value !== undefined && (value as unknown as Record<string, unknown>)[field] === name) {
                return `${kind} "${object.name}"`;
            }
        }
        for (const edit of this.edited.values()) {
            const value = edit.value as unknown as Record<string, unknown> | undefined;
            if (edit.kind === kind && value?.[field] === name) {
                return `${kind} "${edit.name}"`;
            }
        }
        return undefined;
    }
}
