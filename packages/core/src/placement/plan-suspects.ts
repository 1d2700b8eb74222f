import { isRepeatedSuspect } from "../crashes/is-repeated-suspect.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { findTask } from "../jobs/find-task.js";
import { TaskPhase } from "../jobs/task-phase.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { computeQuarantineQuotas } from "./compute-quarantine-quotas.js";
import { encodeStepKey } from "./encode-step-key.js";
import { isSuspect } from "./is-suspect.js";
import { parseStepKey } from "./parse-step-key.js";
import type { PlacementRound } from "./placement-round.js";
import { planSuspectGang } from "./plan-suspect-gang.js";
import { planSuspectStep } from "./plan-suspect-step.js";
import type { ProbationView } from "./probation-view.js";

/** Part of a pool's targets that is kept for suspects even if other tasks wait. */
const keptShare = 0.25;

/** The tasks of a step that wait and are suspected. */
interface SuspectStep {
    readonly candidate: StepCandidate;
    /** Indexes of the tasks. */
    readonly waiting: readonly number[];
}

/**
 * Plans the starts of suspects: tasks under which targets have crashed, most of which only ran beside the cause. Those of
 * a step run together on a target in quarantine, where no other run is on probation, so that they clear or convict their
 * job, which fails as a whole, and a crash costs others little. Suspects are placed first, as they occupy few targets, for
 * a short time each.
 * @param round - the round
 * @param candidates - the steps that may start, most urgent first
 * @param probation - what is known of runs on probation
 * @returns keys of the steps of which no further task starts, because one like it may crash its target
 */
export function planSuspects(
    round: PlacementRound,
    candidates: readonly StepCandidate[],
    probation: ProbationView,
): ReadonlySet<string> {
    for (const target of [...round.pools.values()].flat()) {
        target.recentRuns = probation.countOnProbation(target.record.id);
    }
    const heldSteps = new Set<string>();
    updateQuarantine(round, probation, heldSteps);
    const suspectSteps: SuspectStep[] = [];
    for (const candidate of candidates) {
        const waiting = candidate.waiting.filter(index => isSuspect(candidate, index));
        if (waiting.length === 0) {
            continue;
        }
        const { job, occurrence, step, definition } = candidate;
        // A long-running task serves its users by itself, so it does not wait for others of its step.
        if (!definition.isLongRunning || definition.isGang) {
            heldSteps.add(encodeStepKey(job.id, occurrence, step));
        }
        if (definition.isGang) {
            planSuspectGang(round, candidate);
        }
        else {
            suspectSteps.push({ candidate, waiting });
        }
    }
    const quotas = computeQuarantineQuotas(round.pools, keptShare);
    // Repeated suspects keep their targets to themselves until they end, so that others would wait for them.
    const isRepeated = ({ candidate, waiting }: SuspectStep): boolean =>
        waiting.some(index => isRepeatedTask(candidate, index));
    [...suspectSteps.filter(suspect => !isRepeated(suspect)), ...suspectSteps.filter(isRepeated)]
        .forEach(({ candidate, waiting }) => planSuspectStep(round, candidate, waiting, quotas));
    [...round.pools.values()].flat().filter(({ isQuarantined, recentRuns }) => isQuarantined && recentRuns > 0)
        .forEach(({ record }) => probation.noteKept(record.id));
    return heldSteps;
}

function isRepeatedTask({ job, occurrence, step, definition }: StepCandidate, index: number): boolean {
    const crashes = job.occurrences.get(occurrence)?.[step]?.tasks[index]?.crashes;
    return !definition.isLongRunning && crashes !== undefined && isRepeatedSuspect(crashes);
}

/** Puts the targets in quarantine on which suspects are on probation, and holds their steps. */
function updateQuarantine({ fleet, pools }: PlacementRound, probation: ProbationView, heldSteps: Set<string>): void {
    const targets = new Map([...pools.values()].flat().map(target => [target.record.id, target]));
    for (const encodedKey of fleet.suspectTasks) {
        const key = decodeTaskKey(encodedKey);
        const job = key === undefined ? undefined : fleet.jobs.get(key.job);
        const task = key === undefined || job === undefined ? undefined : findTask(job, key);
        const isOnProbation = task?.phase === TaskPhase.Placed
            && probation.isOnProbation(encodedKey, task.run, task.target);
        const targetId = probation.findStartTarget(encodedKey) ?? (isOnProbation ? task.target : undefined);
        if (key === undefined || targetId === undefined) {
            continue;
        }
        const target = targets.get(targetId);
        if (target !== undefined) {
            target.isQuarantined = true;
        }
        if (job?.steps[key.step]?.isLongRunning === false) {
            heldSteps.add(parseStepKey(encodedKey));
        }
    }
}
