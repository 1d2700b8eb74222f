import type { BusyVm } from "./busy-vm.js";
import type { ConsolidationPlan } from "./consolidation-plan.js";
import type { PinningRun } from "./pinning-run.js";
import { planConsolidation } from "./plan-consolidation.js";
import type { PoolForecast } from "./pool-forecast.js";
import type { VmMove } from "./vm-move.js";

/** Interval between two plans, milliseconds: a plan goes through the runs of calm pools. */
const planIntervalMs = 500;
/** Time for which work waits in a pool before its closed VMs are opened: only these may be able to run it. */
const maxWaitMs = 500;

/** Keeps which VMs are closed to starts so that they become empty for a pool that is short. */
export class VmConsolidation {
    private closed: ReadonlyMap<string, BusyVm> = new Map();
    /** Monotonic milliseconds. */
    private nextPlanAt = 0;
    /** Since when work waits in a pool, monotonic milliseconds. */
    private readonly waitingSince = new Map<string, number>();

    /**
     * Tells whether a VM takes no start.
     * @param vm - the VM
     * @returns true while it is closed
     */
    isClosed(vm: string): boolean {
        return this.closed.has(vm);
    }

    /**
     * Plans one round. VMs are closed, and tasks moved, every half second; VMs are opened in each round.
     * @param pools - the forecasts of the round
     * @param moves - the moves of the round
     * @param collectVms - collects the VMs of some pools that may become empty
     * @param takeRoom - takes the room for a run on a target that stays open
     * @param now - monotonic milliseconds
     * @returns the VMs that have been closed and opened, and the runs to stop
     */
    planRound(
        pools: readonly PoolForecast[],
        moves: readonly VmMove[],
        collectVms: (pools: ReadonlySet<string>) => readonly BusyVm[],
        takeRoom: (run: PinningRun, closed: ReadonlySet<string>) => boolean,
        now: number,
    ): { closed: readonly BusyVm[]; opened: readonly BusyVm[]; stops: readonly PinningRun[] } {
        const calm = new Set(pools.filter(pool => !this.isWaitingLong(pool, now)).map(({ name }) => name));
        const pickCalm = (names: ReadonlySet<string>) => new Set([...names].filter(name => calm.has(name)));
        const isDue = now >= this.nextPlanAt;
        this.nextPlanAt = isDue ? now + planIntervalMs : this.nextPlanAt;
        const isWaiting = pools.some(({ wanted }) => wanted > 0);
        let plan: ConsolidationPlan = { closed: [], stops: [] };
        if (isDue && isWaiting) {
            plan = planConsolidation({ pools, moves, collectVms: names => collectVms(pickCalm(names)), takeRoom });
        }
        else if (isWaiting && this.closed.size > 0) {
            plan = planConsolidation({
                pools,
                moves,
                collectVms: names => this.listClosed(pickCalm(names)),
                takeRoom: () => false,
            });
        }
        const before = this.closed;
        this.closed = new Map(plan.closed.map(vm => [vm.vm, vm]));
        return {
            closed: plan.closed.filter(({ vm }) => !before.has(vm)),
            opened: [...before.values()].filter(({ vm }) => !this.closed.has(vm)),
            stops: plan.stops,
        };
    }

    /**
     * Opens all VMs.
     * @returns the VMs that were closed
     */
    openAll(): readonly BusyVm[] {
        const opened = [...this.closed.values()];
        this.closed = new Map();
        return opened;
    }

    private listClosed(pools: ReadonlySet<string>): BusyVm[] {
        return [...this.closed.values()].filter(({ pool }) => pools.has(pool));
    }

    private isWaitingLong({ name, wanted }: PoolForecast, now: number): boolean {
        if (wanted === 0) {
            this.waitingSince.delete(name);
            return false;
        }
        const since = this.waitingSince.get(name) ?? now;
        this.waitingSince.set(name, since);
        return now - since >= maxWaitMs;
    }
}
