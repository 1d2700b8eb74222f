import type { Clock } from "../../../clock/clock.js";
import { Mailbox } from "../../../concurrency/mailbox.js";
import { Worker } from "../../../supervision/worker.js";
import type { TargetRegistry } from "../targets/target-registry.js";
import type { AdmissionDesk } from "./admission-desk.js";

const tickMs = 50;

/** Lets time act on queues and target leases. */
export class QueueClock extends Worker {
    override readonly name = "queue-clock";
    private readonly mailbox = new Mailbox<"tick">(1);
    private cancelTimer: () => void = () => undefined;

    /**
     * @param desk - the queues
     * @param registry - the targets' leases
     * @param clock - time
     */
    constructor(
        private readonly desk: AdmissionDesk,
        private readonly registry: TargetRegistry,
        private readonly clock: Clock,
    ) {
        super();
    }

    override *run(): Generator<unknown, void, unknown> {
        this.scheduleNext();
        try {
            while ((yield* this.mailbox.take()) !== undefined) {
                this.desk.refuseExpired();
                this.registry.dropExpired();
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
        this.cancelTimer = this.clock.schedule(tickMs, () => {
            this.mailbox.put("tick");
            this.scheduleNext();
        });
    }
}
