import { buildPromotion } from "@daisylock/core/raft/build-promotion.js";

import type { Clock } from "../../clock/clock.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import type { Keeper } from "./keeper.js";

const intervalMs = 500;

/** Promotes learners that have caught up to voters, while the keeper of this process is the leader. */
export class LearnerPromoter extends PeriodicWorker {
    override readonly name = "learner-promoter";

    /**
     * @param keeper - the keeper of this process
     * @param clock - clock for the interval
     */
    constructor(private readonly keeper: Keeper, clock: Clock) {
        super(clock);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        const members = this.keeper.isActiveLeader() ? this.keeper.readView()?.members : undefined;
        const [learner] = Object.keys(members?.learners ?? {});
        if (members !== undefined && learner !== undefined) {
            // The change is refused until the learner has caught up; the next tick tries again.
            yield* waitFor(this.keeper.sendMemberChange(buildPromotion(members, learner)));
        }
        return intervalMs;
    }
}
