import type { TargetRecord } from "./target-record.js";

/**
 * Tells whether a target was recorded only after it had answered at its address. Earlier versions recorded any address.
 * @param record - the record
 * @returns false for records of earlier versions and for targets that state no clock
 */
export function isAddressVerified({ reportClockMs }: Pick<TargetRecord, "reportClockMs">): boolean {
    return reportClockMs !== undefined;
}
