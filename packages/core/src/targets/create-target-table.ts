import type { TargetRecord } from "./target-record.js";
import type { TargetTable } from "./target-table.js";

/**
 * Creates a table of targets.
 * @returns the empty table
 */
export function createTargetTable(): TargetTable {
    const records = new Map<string, TargetRecord>();
    let version = 0;
    const countChanges =
        <Values extends readonly unknown[], Result>(change: (...values: Values) => Result) =>
        (...values: Values): Result => {
            version += 1;
            return change(...values);
        };
    return Object.assign(records, {
        readVersion: () => version,
        set: countChanges(records.set.bind(records)),
        delete: countChanges(records.delete.bind(records)),
        clear: countChanges(records.clear.bind(records)),
    });
}
