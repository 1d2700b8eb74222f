import type { StepCandidate } from "./step-candidate.js";
import { Urgency } from "./urgency.js";

/**
 * Slack, as a share of the remaining time, from which a step counts as on time while the backlog is late: allows for
 * estimation errors. Any other backlog is worked off in time, so that every step may wait until its slack is used up.
 */
const slackMargin = 0.2;
/** Lateness, as a share of the remaining time, up to which a step may still be on time: allows for estimation errors. */
const slackTolerance = 0.3;

/**
 * Computes the class of urgency of a step.
 * @param candidate - the step
 * @returns the class
 */
export function computeUrgency(
    { definition, slackMs, remainingMs, isBacklogLate }: Pick<
        StepCandidate,
        "definition" | "slackMs" | "remainingMs" | "isBacklogLate"
    >,
): Urgency {
    if (definition.isLongRunning) {
        return Urgency.LongRunning;
    }
    const margin = isBacklogLate ? slackMargin : -slackTolerance;
    if (slackMs >= margin * remainingMs) {
        return Urgency.OnTime;
    }
    return slackMs >= -slackTolerance * remainingMs ? Urgency.Uncertain : Urgency.Late;
}
