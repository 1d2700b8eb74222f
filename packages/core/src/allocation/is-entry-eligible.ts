import { allocationTiming } from "./allocation-timing.js";
import type { EntryView } from "./entry-view.js";

/**
 * Tells whether an entry is included in new plans.
 * @param view - the entry
 * @param now - monotonic milliseconds
 * @returns false when the entry is leaving or unresponsive
 */
export function isEntryEligible(view: EntryView, now: number): boolean {
    return !view.isLeaving && now - view.lastReportAt <= allocationTiming.entryUnresponsiveMs;
}
