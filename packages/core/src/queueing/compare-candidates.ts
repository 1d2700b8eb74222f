import type { StepCandidate } from "./step-candidate.js";

/** How urgently a step is to be started; lower comes first. */
enum Urgency {
    /** Serves users by every second at work. */
    LongRunning = 0,
    /** Can still be on time. */
    OnTime = 1,
    /** Is late already, or will be. */
    Late = 2,
}

/** Share of the remaining work by which an estimate may be short before a step counts as late. */
const slackTolerance = 0.3;
/** Head start of a small job against one of the usual size, milliseconds: room that many callers can use. */
const sizeWeightMs = 300;
/** Head start for each step that is done, milliseconds: what a begun job has used is lost if it ends late. */
const stepWeightMs = 200;
/** Disadvantage of an account at twice its share or more, milliseconds: about the slack of a usual job. */
const shareWeightMs = 1_000;

/**
 * Orders steps for starting. Answers the load in which demand rises above what a pool holds for some seconds: work that
 * can still be on time goes first, by least slack, with a head start for small and for begun jobs, as under a deep
 * backlog slack alone makes everything a little late. An account that uses more than its share by weight stands back, so
 * that one account's burst costs the others little. What is late already waits behind it, smallest first, so that
 * nothing that only grows older holds up what can be on time.
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

function computeRank({ slackMs, relativeWork, shareExcess, stepsDone }: StepCandidate): number {
    const shareMs = shareWeightMs * Math.min(1, shareExcess);
    return Math.max(0, slackMs) + sizeWeightMs * Math.sqrt(relativeWork) + shareMs - stepWeightMs * stepsDone;
}

function computeUrgency(candidate: StepCandidate): Urgency {
    if (candidate.definition.isLongRunning) {
        return Urgency.LongRunning;
    }
    return candidate.slackMs >= -slackTolerance * candidate.remainingMs ? Urgency.OnTime : Urgency.Late;
}
