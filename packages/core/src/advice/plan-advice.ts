import { isAffinityKept } from "../placement/filters/is-affinity-kept.js";
import { isLabelRight } from "../placement/filters/is-label-right.js";
import { isRoomLeft } from "../placement/filters/is-room-left.js";
import type { TargetView } from "../placement/target-view.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import type { TicketBook } from "./ticket-book.js";

/** Most targets of one question; callers' objectives allow for one question about so many. */
const maxTargets = 30;

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
export function planAdvice(
    candidate: StepCandidate,
    step: string,
    targets: readonly TargetView[],
    tickets: TicketBook,
    now: number,
): string[] {
    const { definition, waiting } = candidate;
    const fits = targets.filter(target =>
        isLabelRight(definition, target) && isRoomLeft(definition, target) && isAffinityKept(definition, step, target)
    );
    const room = fits.filter(({ record }) => tickets.findTicket(step, record.id, now) !== undefined)
        .reduce((sum, target) => sum + countPlaces(candidate, target), 0);
    if (room >= waiting.length) {
        return [];
    }
    return fits.filter(({ record }) => tickets.isWorthAsking(step, record.id, now))
        .sort((a, b) => b.free.cpu - a.free.cpu)
        .slice(0, maxTargets)
        .map(({ record }) => record.id);
}

function countPlaces({ definition: { needs, maxPerTarget } }: StepCandidate, { free }: TargetView): number {
    const byCpu = Math.floor(free.cpu / Math.max(1, needs.cpu));
    const byMemory = Math.floor(free.memory / Math.max(1, needs.memory));
    return Math.min(byCpu, byMemory, maxPerTarget === 0 ? Number.POSITIVE_INFINITY : maxPerTarget);
}
