import { computeUrgency } from "./compute-urgency.js";
import type { StepCandidate } from "./step-candidate.js";
import { Urgency } from "./urgency.js";

/** Weight of slack against size and completed steps while the backlog is late. */
const lateBacklogSlackWeight = 0.5;
/** Head start of a small job over one of mean size, milliseconds: small jobs leave capacity for more callers. */
const sizeWeightMs = 300;
/** Head start for each completed step, milliseconds: the work already spent on a job is wasted if the job ends late. */
const stepWeightMs = 200;
/** Penalty for an account at twice its share or more, milliseconds: about the slack of a typical job. */
const shareWeightMs = 1_000;

/**
 * Compares steps by the order in which they start. The order is designed for bursts, in which demand exceeds the
 * capacity of a pool for some seconds:
 * - Long-running steps come first, then steps that can still finish on time, then late steps, so that late steps do not
 *   delay those that can finish on time. While late steps wait for the pool, those with too little slack for an estimation
 *   error come in between, as every step of a backlog that exceeds the slack would start when its slack is used up.
 * - Within such a class, the priority of the queue decides.
 * - Steps that can finish on time start by least slack, uncertain ones by most slack. Small jobs and partly completed
 *   jobs get a head start, because under a deep backlog least slack alone makes every job slightly late. Accounts above
 *   their weighted share get a penalty, so that a burst of one account delays the others little.
 * - Late steps start by the remaining work of their job, least first.
 * @param a - a step
 * @param b - another step
 * @returns negative when `a` comes first
 */
export function compareCandidates(a: StepCandidate, b: StepCandidate): number {
    const urgency = computeUrgency(a) - computeUrgency(b);
    if (urgency !== 0) {
        return urgency;
    }
    const priority = (a.queue?.priority ?? 0) - (b.queue?.priority ?? 0);
    if (priority !== 0) {
        return priority;
    }
    return computeUrgency(a) === Urgency.Late ? a.relativeWork - b.relativeWork : computeRank(a) - computeRank(b);
}

/** Computes the slack with head starts and penalties, milliseconds; the lowest starts first. */
function computeRank(candidate: StepCandidate): number {
    const { slackMs, relativeWork, shareExcess, stepsDone, isBacklogLate } = candidate;
    const slackWeight = isBacklogLate ? lateBacklogSlackWeight : 1;
    const slackTermMs = computeUrgency(candidate) === Urgency.Uncertain ? -slackMs : slackWeight * Math.max(0, slackMs);
    const shareMs = shareWeightMs * Math.min(1, shareExcess);
    return slackTermMs + sizeWeightMs * Math.sqrt(relativeWork) + shareMs - stepWeightMs * stepsDone;
}
