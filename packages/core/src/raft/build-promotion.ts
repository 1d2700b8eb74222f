import type { Members } from "./members.js";

/**
 * Builds the members in which a learner has become a voter.
 * @param members - the members
 * @param id - id of the learner
 * @returns the members to propose
 */
export function buildPromotion({ voters, learners }: Members, id: string): Members {
    const address = learners[id];
    const rest = Object.entries(learners).filter(([other]) => other !== id);
    return {
        voters: address === undefined ? voters : { ...voters, [id]: address },
        learners: Object.fromEntries(rest),
    };
}
