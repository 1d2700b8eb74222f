import type { Clock } from "../../clock/clock.js";
import type { TargetOrder } from "./target-order.js";

/** What the leader knows of its orders to one target, by encoded task key. */
export class OrderBook {
    private readonly orders = new Map<string, TargetOrder>();

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
    find(task: string, run: number): TargetOrder | undefined {
        const order = this.orders.get(task);
        return order?.run === run ? order : undefined;
    }

    /**
     * Finds the order for a run, or begins one. An order for a higher run stands for the lower ones.
     * @param task - encoded task key
     * @param run - number of the run
     * @returns the order
     */
    open(task: string, run: number): TargetOrder {
        const known = this.orders.get(task);
        if (known !== undefined && known.run >= run) {
            return known;
        }
        const order: TargetOrder = {
            run,
            sentAt: this.clock.readMonotonic(),
            isSent: false,
            isUncertain: false,
            isStopConfirmed: false,
            isStopWanted: false,
            confirmedAt: undefined,
            isBusy: false,
        };
        this.orders.set(task, order);
        return order;
    }

    /**
     * Forgets orders for runs that are over.
     * @param runs - run by encoded task key of what may still be running
     */
    dropSettled(runs: ReadonlyMap<string, number>): void {
        for (const [task, order] of this.orders) {
            if (!order.isBusy && runs.get(task) !== order.run) {
                this.orders.delete(task);
            }
        }
    }
}
