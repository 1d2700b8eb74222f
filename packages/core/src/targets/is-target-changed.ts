import type { TargetRecord } from "./target-record.js";

/**
 * Tells whether a report says something that is not recorded yet.
 * @param known - the record, if there is one
 * @param reported - what the target says
 * @returns true when the record has to be replaced
 */
export function isTargetChanged(known: TargetRecord | undefined, reported: TargetRecord): boolean {
    return known === undefined || JSON.stringify(known) !== JSON.stringify(reported);
}
