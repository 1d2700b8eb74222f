import type { Clock } from "../../clock/clock.js";
import type { RunRequestState } from "./run-request-state.js";

/** What the leader knows of its orders to one target, by encoded task key. */
export class RunRequestTracker {
    private readonly requests = new Map<string, RunRequestState>();

    /**
     * @param clock - when orders are given
     */
    constructor(private readonly clock: Clock) {}

    /**
     * Finds the order for a run.
     * @param task - encoded task key
     * @param run - number of the run
     * @returns the order, or `undefined` when this leader has given none
     */
    find(task: string, run: number): RunRequestState | undefined {
        const order = this.requests.get(task);
        return order?.run === run ? order : undefined;
    }

    /**
     * Finds the order for a run, or begins one. An order for a higher run stands for the lower ones.
     * @param task - encoded task key
     * @param run - number of the run
     * @returns the order
     */
    findOrCreate(task: string, run: number): RunRequestState {
        const known = this.requests.get(task);
        if (known !== undefined && known.run >= run) {
            return known;
        }
        const order: RunRequestState = {
            run,
            createdAt: this.clock.readMonotonic(),
            isStartSent: false,
            isStartUnanswered: false,
            isStopConfirmed: false,
            isStopRequested: false,
            confirmedAt: undefined,
            isInFlight: false,
        };
        this.requests.set(task, order);
        return order;
    }

    /**
     * Forgets orders for runs that are over.
     * @param runs - run by encoded task key of what may still be running
     */
    dropEnded(runs: ReadonlyMap<string, number>): void {
        for (const [task, order] of this.requests) {
            if (!order.isInFlight && runs.get(task) !== order.run) {
                this.requests.delete(task);
            }
        }
    }
}
