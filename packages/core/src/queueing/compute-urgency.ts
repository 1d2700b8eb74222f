import type { StepCandidate } from "./step-candidate.js";
import { Urgency } from "./urgency.js";

/** Slack, as a share of the remaining time, from which a step counts as on time: allows for estimation errors. */
const slackMargin = 0.15;
/** Lateness, as a share of the remaining time, up to which a step may still be on time: allows for estimation errors. */
const slackTolerance = 0.3;

/**
 * Computes the class of urgency of a step.
 * @param candidate - the step
 * @returns the class
 */
export function computeUrgency(
    { definition, slackMs, remainingMs }: Pick<StepCandidate, "definition" | "slackMs" | "remainingMs">,
): Urgency {
    if (definition.isLongRunning) {
        return Urgency.LongRunning;
    }
    if (slackMs >= slackMargin * remainingMs) {
        return Urgency.OnTime;
    }
    return slackMs >= -slackTolerance * remainingMs ? Urgency.Uncertain : Urgency.Late;
}
