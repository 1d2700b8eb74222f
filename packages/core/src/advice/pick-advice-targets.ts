import { isAntiAffinityMet } from "../placement/filters/is-anti-affinity-met.js";
import { isCapacityLeft } from "../placement/filters/is-capacity-left.js";
import { isLabelMatching } from "../placement/filters/is-label-matching.js";
import type { PlacementTarget } from "../placement/placement-target.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import type { TicketCache } from "./ticket-cache.js";

/** Most targets of one question; callers' objectives allow for one question about so many. */
const maxTargetsPerQuery = 30;

/**
 * Plans which targets the adviser of a queue is asked about. Answers advice that takes time for each target named: nobody
 * is asked while the targets with good tickets have room for all that waits, and the emptiest targets come first.
 * @param candidate - the step that has tasks to start
 * @param step - its name
 * @param targets - the targets of its pool
 * @param tickets - the tickets that are there
 * @param now - monotonic milliseconds
 * @returns ids of targets; empty when there is nothing to ask
 */
export function pickAdviceTargets(
    candidate: StepCandidate,
    step: string,
    targets: readonly PlacementTarget[],
    tickets: TicketCache,
    now: number,
): string[] {
    const { definition, waiting } = candidate;
    const fits = targets.filter(target =>
        isLabelMatching(definition, target) && isCapacityLeft(definition, target)
        && isAntiAffinityMet(definition, step, target)
    );
    const room = fits.filter(({ record }) => tickets.findTicket(step, record.id, now) !== undefined)
        .reduce((sum, target) => sum + countFittingTasks(candidate, target), 0);
    if (room >= waiting.length) {
        return [];
    }
    return fits.filter(({ record }) => tickets.isQueryNeeded(step, record.id, now))
        .sort((a, b) => b.free.cpu - a.free.cpu)
        .slice(0, maxTargetsPerQuery)
        .map(({ record }) => record.id);
}

function countFittingTasks({ definition: { needs, maxPerTarget } }: StepCandidate, { free }: PlacementTarget): number {
    const byCpu = Math.floor(free.cpu / Math.max(1, needs.cpu));
    const byMemory = Math.floor(free.memory / Math.max(1, needs.memory));
    return Math.min(byCpu, byMemory, maxPerTarget === 0 ? Number.POSITIVE_INFINITY : maxPerTarget);
}
