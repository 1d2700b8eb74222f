import type { StepCandidate } from "./step-candidate.js";

/** How urgently a step is to be started; lower comes first. */
enum Urgency {
    /** Earns by every second at work. */
    LongRunning = 0,
    /** Can still be on time. */
    InTime = 1,
    /** Is late already, or will be. */
    Late = 2,
}

/** Multiple of the remaining work by which an estimate may be short before a step counts as late. */
const slackTolerance = 0.3;

/**
 * Orders steps for starting. Answers the load in which demand rises above what a pool holds for some seconds: work that
 * can still be on time goes first, by least slack; what is late already waits behind it, shortest first, so that a
 * backlog that only grows older does not make everything late.
 * @param a - a step
 * @param b - another step
 * @returns negative when `a` comes first
 */
export function compareCandidates(a: StepCandidate, b: StepCandidate): number {
    const urgency = readUrgency(a) - readUrgency(b);
    if (urgency !== 0) {
        return urgency;
    }
    const priority = (a.rule?.priority ?? 0) - (b.rule?.priority ?? 0);
    if (priority !== 0) {
        return priority;
    }
    return readUrgency(a) === Urgency.Late ? a.remainingMs - b.remainingMs : a.slackMs - b.slackMs;
}

function readUrgency(candidate: StepCandidate): Urgency {
    if (candidate.definition.isLongRunning) {
        return Urgency.LongRunning;
    }
    return candidate.slackMs >= -slackTolerance * candidate.remainingMs ? Urgency.InTime : Urgency.Late;
}
