import type { Clock } from "../../clock/clock.js";
import { Mailbox } from "../../concurrency/mailbox.js";
import { waitFor } from "../../concurrency/wait-for.js";
import { Worker } from "../../supervision/worker.js";
import type { Keeper } from "./keeper.js";

const intervalMs = 200;

/** Makes learners voters once they have caught up, while this process's keeper leads. */
export class LearnerPromoter extends Worker {
    override readonly name = "learner-promoter";
    private readonly mailbox = new Mailbox<"look">(1);
    private cancelTimer: () => void = () => undefined;

    /**
     * @param keeper - the keeper of this process
     * @param clock - time
     */
    constructor(private readonly keeper: Keeper, private readonly clock: Clock) {
        super();
    }

    override *run(): Generator<unknown, void, unknown> {
        this.scheduleNext();
        try {
            while ((yield* this.mailbox.take()) !== undefined) {
                yield* this.look();
                this.scheduleNext();
            }
        }
        finally {
            this.cancelTimer();
        }
    }

    override stop(): void {
        this.mailbox.close();
    }

    private scheduleNext(): void {
        this.cancelTimer = this.clock.schedule(intervalMs, () => this.mailbox.put("look"));
    }

    private *look(): Generator<unknown, void, unknown> {
        const view = this.keeper.isDeciding() ? this.keeper.readView() : undefined;
        for (const [id, address] of Object.entries(view?.members.learners ?? {})) {
            const members = view?.members;
            if (members === undefined) {
                return;
            }
            const { [id]: _promoted, ...learners } = members.learners;
            const voters = { ...members.voters, [id]: address };
            // Refused until the learner has caught up; asked again at the next look.
            yield* waitFor(this.keeper.sendMembers({ voters, learners }));
            return;
        }
    }
}
