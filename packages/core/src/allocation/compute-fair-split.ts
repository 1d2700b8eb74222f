import type { HolderDemand } from "./holder-demand.js";

/**
 * Splits a capacity into whole units by max-min fairness. What exceeds the total demand is split evenly as headroom.
 * @param capacity - units to split
 * @param demands - demand by holder
 * @returns units by holder; they sum up to the capacity unless `demands` is empty
 */
export function computeFairSplit(capacity: number, demands: readonly HolderDemand[]): Map<string, number> {
    const split = new Map<string, number>();
    const ordered = [...demands].sort((a, b) => a.wanted - b.wanted || (a.holder < b.holder ? -1 : 1));
    let remaining = Math.max(0, Math.floor(capacity));
    ordered.forEach((demand, position) => {
        const fair = Math.floor(remaining / (ordered.length - position));
        const units = Math.min(Math.ceil(demand.wanted), fair);
        split.set(demand.holder, units);
        remaining -= units;
    });
    for (let position = 0; remaining > 0 && ordered.length > 0; position++) {
        const units = Math.ceil(remaining / (ordered.length - position % ordered.length));
        const holder = ordered[ordered.length - 1 - position % ordered.length]?.holder ?? "";
        split.set(holder, (split.get(holder) ?? 0) + units);
        remaining -= units;
    }
    return split;
}
