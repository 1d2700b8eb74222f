import type { Clock } from "../../../clock/clock.js";
import { PeriodicWorker } from "../../../supervision/periodic-worker.js";
import type { TargetRegistry } from "../targets/target-registry.js";
import type { AdmissionController } from "./admission-controller.js";

const intervalMs = 50;
/** The same while no request waits. */
const idleIntervalMs = 250;

/** Lets time act on queues and target leases. */
export class ExpiryWorker extends PeriodicWorker {
    override readonly name = "queue-clock";

    /**
     * @param admissionController - the queues
     * @param registry - the targets' leases
     * @param clock - time
     */
    constructor(
        private readonly admissionController: AdmissionController,
        private readonly registry: TargetRegistry,
        clock: Clock,
    ) {
        super(clock);
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        this.admissionController.refuseExpired();
        this.registry.dropExpired();
        return this.admissionController.isAnyWaiting() ? intervalMs : idleIntervalMs;
    }
}
