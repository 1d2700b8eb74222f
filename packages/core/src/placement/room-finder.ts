import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import type { JobStep } from "../jobs/job-step.js";
import { addResources } from "../resources/add-resources.js";
import { pickTaskTarget } from "./pick-task-target.js";
import type { PlacementTarget } from "./placement-target.js";

/** Finds room for running tasks that have to move, by the same filters as their later placement. */
export class RoomFinder {
    /**
     * @param pools - the targets by pool on which tasks may start; their free capacity is decreased by the room taken
     */
    constructor(private readonly pools: ReadonlyMap<string, readonly PlacementTarget[]>) {}

    /**
     * Takes the room for one task of a step, so that it counts as taken for the next one.
     * @param step - the step
     * @param stepKey - encoded key of the step
     * @param pool - pool in which the task runs
     * @returns false when no target has room
     */
    takeRoom(step: JobStep, stepKey: string, pool: string): boolean {
        const target = pickTaskTarget(step, stepKey, undefined, this.pools.get(pool) ?? []);
        if (target === undefined) {
            return false;
        }
        target.startsLeft -= 1;
        target.free = addResources(target.free, computeReservedResources(step), -1);
        target.stepCounts.set(stepKey, (target.stepCounts.get(stepKey) ?? 0) + 1);
        return true;
    }
}
