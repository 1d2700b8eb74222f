import type { StepCandidate } from "../queueing/step-candidate.js";
import { encodeStepKey } from "./encode-step-key.js";
import { isStartWithinCap } from "./is-start-within-cap.js";
import { pickQuarantineTarget } from "./pick-quarantine-target.js";
import type { PlacementRound } from "./placement-round.js";
import { planStep } from "./plan-step.js";

/**
 * Plans the starts of the suspects of a step on a target that is put in quarantine. A target where runs are on probation,
 * or that is full, is only kept for them: it becomes ready as no other task starts there.
 * @param round - the round
 * @param candidate - the step
 * @param waiting - indexes of the suspects
 * @param quotas - number of targets that may still be put in quarantine, by pool
 */
export function planSuspectStep(
    round: PlacementRound,
    candidate: StepCandidate,
    waiting: readonly number[],
    quotas: Map<string, number>,
): void {
    const { job, queue, occurrence, step, definition } = candidate;
    const pool = queue?.pool ?? job.pool;
    const quota = quotas.get(pool) ?? 0;
    const task = job.occurrences.get(occurrence)?.[step]?.tasks[waiting[0] ?? 0];
    if (quota <= 0 || task === undefined || !isStartWithinCap(round, candidate)) {
        return;
    }
    const stepKey = encodeStepKey(job.id, occurrence, step);
    const target = pickQuarantineTarget(definition, stepKey, task, round.listTargets(candidate));
    if (target === undefined) {
        return;
    }
    if (target.recentRuns === 0) {
        planStep(round, candidate, waiting, [target]);
    }
    target.isQuarantined = true;
    quotas.set(pool, quota - 1);
}
