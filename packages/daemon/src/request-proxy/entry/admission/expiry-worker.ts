import type { Clock } from "../../../clock/clock.js";
import { PeriodicWorker } from "../../../supervision/periodic-worker.js";
import type { TargetRegistry } from "../targets/target-registry.js";
import type { AdmissionController } from "./admission-controller.js";

/** Interval while requests wait, milliseconds. */
const intervalMs = 50;
/** Interval while no request waits, milliseconds. */
const idleIntervalMs = 250;

/** Periodically refuses expired requests and marks targets with an expired lease as gone. */
export class ExpiryWorker extends PeriodicWorker {
    override readonly name = "queue-clock";

    /**
     * @param admissionController - queues of the waiting requests
     * @param registry - leases of the targets
     * @param clock - schedules the rounds
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
