import { ObjectKind } from "@daisylock/core/tables/object-kind.js";
import { isDeepStrictEqual } from "node:util";

/** An edit that has not been validated yet. */
interface PlannedEdit {
    readonly kind: ObjectKind;
    readonly name: string;
    readonly value?: unknown;
}

const fileKinds = [ObjectKind.Team, ObjectKind.Pool, ObjectKind.Vm, ObjectKind.Route];

/**
 * Plans the edits that bring the tables to the content of a file.
 * @param tables - the tables as the API lists them
 * @param desired - content of the file: objects by kind and name
 * @param isPruning - whether to remove objects that are not in the file; keys are never removed
 * @returns the edits
 */
export function planEdits(
    tables: Record<string, unknown>,
    desired: Record<string, unknown>,
    isPruning: boolean,
): PlannedEdit[] {
    return fileKinds.flatMap(kind => planEditsOfKind(kind, tables, desired, isPruning));
}

function planEditsOfKind(
    kind: ObjectKind,
    tables: Record<string, unknown>,
    desired: Record<string, unknown>,
    isPruning: boolean,
): PlannedEdit[] {
    const current = new Map((tables[kind] as { name: string }[]).map(({ name, ...rest }) => [name, rest]));
    const edits: PlannedEdit[] = [];
    const objects = (desired[kind] ?? {}) as Record<string, object>;
    for (const [name, value] of Object.entries(objects)) {
        const { revision, ...existing } = (current.get(name) ?? {}) as { revision?: number };
        if (!isDeepStrictEqual({ ...existing }, { ...value })) {
            edits.push({ kind, name, value: { ...value } });
        }
    }
    for (const name of isPruning ? current.keys() : []) {
        if (objects[name] === undefined) {
            edits.push({ kind, name });
        }
    }
    return edits;
}
