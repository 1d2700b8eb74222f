import type { Members } from "./members.js";

/**
 * Builds the member set in which a learner is promoted to voter.
 * @param members - the current members
 * @param id - id of the learner
 * @returns the members to propose; without a change when there is no such learner
 */
export function buildPromotion({ voters, learners }: Members, id: string): Members {
    const address = learners[id];
    const otherLearners = Object.entries(learners).filter(([other]) => other !== id);
    return {
        voters: address === undefined ? voters : { ...voters, [id]: address },
        learners: Object.fromEntries(otherLearners),
    };
}
