import { allocationTiming } from "./allocation-timing.js";
import type { EntryView } from "./entry-view.js";

/**
 * Tells whether an entry takes part in new plans.
 * @param view - the entry
 * @param now - monotonic milliseconds
 * @returns false while it is leaving or silent
 */
export function isEntryEligible(view: EntryView, now: number): boolean {
    return !view.isLeaving && now - view.lastReportAt <= allocationTiming.entryUnresponsiveMs;
}
