import { encodeTaskKey } from "../jobs/encode-task-key.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { computeQuarantineQuotas } from "./compute-quarantine-quotas.js";
import { isSuspect } from "./is-suspect.js";
import type { PlacementRound } from "./placement-round.js";
import { planSuspectStep } from "./plan-suspect-step.js";

/** Largest part of a pool's targets on which suspects are on probation, as each of them may crash. */
const maxQuarantineShare = 0.5;

/**
 * Plans the starts of further suspects on targets on which nothing else starts in this round.
 * @param round - the round, after all other starts are planned
 * @param candidates - the steps that may start, most urgent first
 */
export function planIdleSuspects(round: PlacementRound, candidates: readonly StepCandidate[]): void {
    const startTargets = new Set(round.starts.map(({ target }) => target));
    const startedTasks = new Set(round.starts.map(({ task }) => task));
    const quotas = computeQuarantineQuotas(round.pools, maxQuarantineShare);
    for (const target of [...round.pools.values()].flat()) {
        target.isQuarantined ||= target.recentRuns > 0 || startTargets.has(target.record.id);
    }
    for (const candidate of candidates.filter(({ definition }) => !definition.isGang)) {
        const { job, occurrence, step, waiting } = candidate;
        const isLeft = (index: number): boolean =>
            isSuspect(candidate, index) && !startedTasks.has(encodeTaskKey({ job: job.id, occurrence, step, index }));
        const left = waiting.filter(isLeft);
        if (left.length > 0) {
            planSuspectStep(round, candidate, left, quotas);
        }
    }
}
