import { isWithinAccountCap } from "../fleet/is-within-account-cap.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { addResources } from "../resources/add-resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import type { PlacementRound } from "./placement-round.js";

/**
 * Tells whether one more task of a step is within the limits of its client account.
 * @param round - the round
 * @param candidate - the step
 * @returns false when a limit would be exceeded
 */
export function isStartWithinCap(
    { fleet, accountLoads }: Pick<PlacementRound, "fleet" | "accountLoads">,
    { job, definition }: StepCandidate,
): boolean {
    const running = addResources(accountLoads.get(job.account) ?? zeroResources, definition.needs);
    return isWithinAccountCap(fleet, job.account, running);
}
