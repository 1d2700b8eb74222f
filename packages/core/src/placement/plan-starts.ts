import type { FleetState } from "../fleet/fleet-state.js";
import type { TaskStart } from "../jobs/task-start.js";
import { compareCandidates } from "../queueing/compare-candidates.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { encodeStepKey } from "./encode-step-key.js";
import { FullPools } from "./full-pools.js";
import { isStartWithinCap } from "./is-start-within-cap.js";
import { isSuspect } from "./is-suspect.js";
import { PlacementRound } from "./placement-round.js";
import type { PlacementTarget } from "./placement-target.js";
import { planIdleSuspects } from "./plan-idle-suspects.js";
import { planStep } from "./plan-step.js";
import { planSuspects } from "./plan-suspects.js";
import type { ProbationView } from "./probation-view.js";

/** Default number of starts from which a round plans no further step. */
const defaultMaxStarts = 200;

interface PlanOptions {
    /** Number of starts from which the round plans no further step. */
    readonly maxStarts?: number;
    /** Order in which the steps are placed. */
    readonly compare?: (a: StepCandidate, b: StepCandidate) => number;
    /** Whether there is a ticket for a step and a target; called only for queues with a placement adviser. */
    readonly isAdvised?: (stepKey: string, target: string) => boolean;
    /** What is known of runs on probation; without it, none is. Called only while there are suspects. */
    readonly probation?: ProbationView;
}

/**
 * Plans which tasks start on which targets. A gang starts with all its tasks or not at all.
 * @param fleet - the fleet state
 * @param candidates - the steps that may start
 * @param pools - the targets by pool; their free capacity is decreased by the tasks placed
 * @param options - limit of starts, order of the steps, the lookup of tickets for queues with a placement adviser, and runs
 *     on probation
 * @returns the starts, most urgent first, except that suspects come before all others
 */
export function planStarts(
    fleet: FleetState,
    candidates: readonly StepCandidate[],
    pools: ReadonlyMap<string, PlacementTarget[]>,
    {
        maxStarts = defaultMaxStarts,
        compare = compareCandidates,
        isAdvised = () => false,
        probation = {
            isOnProbation: () => false,
            findStartTarget: () => undefined,
            countOnProbation: () => 0,
            noteKept: () => undefined,
        },
    }: PlanOptions = {},
): TaskStart[] {
    const round = new PlacementRound(fleet, pools, isAdvised);
    const sorted = [...candidates].sort(compare);
    const hasSuspects = fleet.suspectTasks.size > 0;
    const heldSteps = hasSuspects ? planSuspects(round, sorted, probation) : new Set();
    const fullPools = new FullPools();
    for (const candidate of sorted) {
        if (round.starts.length >= maxStarts) {
            break;
        }
        const { job, occurrence, step, waiting, definition } = candidate;
        if (fullPools.isFull(candidate)) {
            continue;
        }
        if (!heldSteps.has(encodeStepKey(job.id, occurrence, step))) {
            const others = hasSuspects ? waiting.filter(index => !isSuspect(candidate, index)) : waiting;
            const planned = planStep(round, candidate, others, round.listTargets(candidate));
            // A gang may have given room back, and a limit of its account may be what has stopped a step.
            if (planned.length < others.length && !definition.isGang && isStartWithinCap(round, candidate)) {
                fullPools.noteNoRoom(candidate);
            }
        }
    }
    if (hasSuspects) {
        planIdleSuspects(round, sorted);
    }
    return round.starts;
}
