import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { anyResources } from "../placement/any-resources.js";
import { buildPlacementTargets } from "../placement/build-placement-targets.js";
import { parseStepKey } from "../placement/parse-step-key.js";
import { RoomFinder } from "../placement/room-finder.js";
import type { PinningRun } from "./pinning-run.js";

/**
 * Builds the search for room for runs that are stopped; the targets are listed when it is first needed.
 * @param fleet - the fleet state
 * @param countStartsLeft - how many more tasks may be started on a target now
 * @returns a function that takes the room for a run on a target whose VM is not closed, and tells whether there is any
 */
export function buildRoomTaker(
    fleet: FleetState,
    countStartsLeft: (target: string) => number,
): (run: PinningRun, closed: ReadonlySet<string>) => boolean {
    const finders = new Map<string, RoomFinder>();
    return ({ task, target }, closed) => {
        const key = decodeTaskKey(task);
        const step = fleet.jobs.get(key?.job ?? "")?.steps[key?.step ?? -1];
        const pool = fleet.targets.get(target)?.pool;
        if (step === undefined || pool === undefined) {
            return false;
        }
        const countOpen = (id: string): number => closed.has(fleet.targets.get(id)?.vm ?? "") ? 0 : countStartsLeft(id);
        const finder = finders.get(pool)
            ?? new RoomFinder(buildPlacementTargets(fleet, countOpen, new Map([[pool, anyResources]])));
        finders.set(pool, finder);
        return finder.takeRoom(step, parseStepKey(task), pool);
    };
}
