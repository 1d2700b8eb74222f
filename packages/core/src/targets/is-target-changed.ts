import type { TargetRecord } from "./target-record.js";

/**
 * Tells whether a report differs from the record of its target.
 * @param recorded - the record, if there is one
 * @param reported - the record in the report
 * @returns true when the record has to be replaced
 */
export function isTargetChanged(recorded: TargetRecord | undefined, reported: TargetRecord): boolean {
    return recorded === undefined
        || JSON.stringify({ ...recorded, reportSequence: undefined, reportClockMs: undefined })
            !== JSON.stringify(reported);
}
