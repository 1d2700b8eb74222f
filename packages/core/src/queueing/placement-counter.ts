import type { PlacementCounts } from "./placement-counts.js";
import { Urgency } from "./urgency.js";

/** Counts the tasks placed by pool and urgency, from one reading to the next. */
export class PlacementCounter {
    private readonly counts = new Map<string, Map<Urgency, number>>();

    /**
     * Counts a task.
     * @param pool - its pool
     * @param urgency - urgency of its step when it was placed
     */
    noteStart(pool: string, urgency: Urgency): void {
        const counts = this.counts.get(pool) ?? new Map<Urgency, number>();
        counts.set(urgency, (counts.get(urgency) ?? 0) + 1);
        this.counts.set(pool, counts);
    }

    /**
     * Ends the interval of a pool and begins the next one.
     * @param pool - the pool
     * @returns the counts of the interval that ends
     */
    takeCounts(pool: string): PlacementCounts {
        const counts = this.counts.get(pool);
        this.counts.delete(pool);
        const readCount = (urgency: Urgency): number => counts?.get(urgency) ?? 0;
        return {
            placedOnTime: readCount(Urgency.LongRunning) + readCount(Urgency.OnTime),
            placedUncertain: readCount(Urgency.Uncertain),
            placedLate: readCount(Urgency.Late),
        };
    }
}
