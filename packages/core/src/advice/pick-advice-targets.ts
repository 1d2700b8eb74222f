import { isAntiAffinityMet } from "../placement/filters/is-anti-affinity-met.js";
import { isCapacityLeft } from "../placement/filters/is-capacity-left.js";
import { isLabelMatching } from "../placement/filters/is-label-matching.js";
import type { PlacementTarget } from "../placement/placement-target.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import type { TicketCache } from "./ticket-cache.js";

/** Maximum number of targets in a query; the objectives of queues leave time for one query of this size. */
const maxTargetsPerQuery = 30;

/**
 * Picks the targets to name in a query to the placement adviser of a queue. The response takes longer with each target
 * named, so no query is needed while the targets with valid tickets have enough free capacity for all waiting tasks.
 * Otherwise the targets with the most free CPU are named first.
 * @param candidate - the step that has tasks to start
 * @param stepKey - encoded key of the step
 * @param targets - the targets of its pool
 * @param tickets - the cached tickets
 * @param now - monotonic milliseconds
 * @returns ids of the targets; empty when no query is needed
 */
export function pickAdviceTargets(
    candidate: StepCandidate,
    stepKey: string,
    targets: readonly PlacementTarget[],
    tickets: TicketCache,
    now: number,
): string[] {
    const { definition, waiting } = candidate;
    const eligible = targets.filter(target =>
        isLabelMatching(definition, target) && isCapacityLeft(definition, target)
        && isAntiAffinityMet(definition, stepKey, target)
    );
    const fittingTasks = eligible.filter(({ record }) => tickets.findTicket(stepKey, record.id, now) !== undefined)
        .reduce((sum, target) => sum + countFittingTasks(candidate, target), 0);
    if (fittingTasks >= waiting.length) {
        return [];
    }
    return eligible.filter(({ record }) => tickets.isQueryNeeded(stepKey, record.id, now))
        .sort((a, b) => b.free.cpu - a.free.cpu)
        .slice(0, maxTargetsPerQuery)
        .map(({ record }) => record.id);
}

function countFittingTasks({ definition: { needs, maxPerTarget } }: StepCandidate, { free }: PlacementTarget): number {
    const byCpu = Math.floor(free.cpu / Math.max(1, needs.cpu));
    const byMemory = Math.floor(free.memory / Math.max(1, needs.memory));
    return Math.min(byCpu, byMemory, maxPerTarget === 0 ? Number.POSITIVE_INFINITY : maxPerTarget);
}
