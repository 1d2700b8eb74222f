import { computeFairSplit } from "./compute-fair-split.js";
import type { SlotDemand } from "./slot-demand.js";
import type { SlotSupply } from "./slot-supply.js";

/** Slots by VM and holder. */
type SlotPlan = Map<string, Map<string, number>>;

/**
 * Plans which entry may use which slots of a pool. Each entry gets a portion of the pool by demand, in its own
 * availability zone where possible. Current assignments are kept where they fit the plan, so that few slots move.
 * @param supplies - targets that accept requests
 * @param demands - entries that are included in the plan
 * @returns units by VM and holder; 0 for a holder that loses all its slots on a VM
 */
export function planPoolSlots(supplies: readonly SlotSupply[], demands: readonly SlotDemand[]): SlotPlan {
    const planner = new SlotPlanner(supplies, demands);
    planner.runPass(buildCurrentLimit(true));
    planner.runPass(localZoneLimit);
    planner.runPass(buildCurrentLimit(false));
    planner.runPass(() => Infinity);
    return planner.readPlan();
}

/** Returns the maximum number of units that a holder may take from a target in one pass. */
type PassLimit = (demand: SlotDemand, supply: SlotSupply) => number;

const localZoneLimit: PassLimit = (demand, supply) => (demand.zone === supply.zone ? Infinity : 0);

/** Limits a pass to the current assignments inside the entries' own availability zones, or to those outside. */
function buildCurrentLimit(isLocalPass: boolean): PassLimit {
    return (demand, supply) => (demand.zone === supply.zone) === isLocalPass ? demand.current.get(supply.vm) ?? 0 : 0;
}

/** Assigns slots in passes, evenly over the targets. All passes together give an entry at most its fair portion. */
class SlotPlanner {
    private readonly plan: SlotPlan = new Map();
    private readonly free = new Map<string, number>();
    private readonly remaining: Map<string, number>;

    constructor(private readonly supplies: readonly SlotSupply[], private readonly demands: readonly SlotDemand[]) {
        const capacity = supplies.reduce((sum, supply) => sum + supply.slots, 0);
        this.remaining = computeFairSplit(capacity, demands);
        for (const supply of supplies) {
            this.free.set(supply.vm, supply.slots);
            this.plan.set(supply.vm, new Map());
        }
        this.addCurrentHolders();
    }

    runPass(limit: PassLimit): void {
        // Assigns one unit per pair and round, so that no entry and no target is filled before the others.
        const candidates = this.demands.flatMap(demand =>
            this.supplies
                .map(supply => ({ demand, supply, left: limit(demand, supply) }))
                .filter(candidate => candidate.left > 0)
        );
        let hasAssigned = true;
        while (hasAssigned) {
            hasAssigned = false;
            for (const candidate of candidates) {
                if (candidate.left > 0 && this.takeUnit(candidate.demand, candidate.supply)) {
                    candidate.left -= 1;
                    hasAssigned = true;
                }
            }
        }
    }

    readPlan(): SlotPlan {
        return this.plan;
    }

    private takeUnit(demand: SlotDemand, supply: SlotSupply): boolean {
        const remaining = this.remaining.get(demand.holder) ?? 0;
        const free = this.free.get(supply.vm) ?? 0;
        if (remaining <= 0 || free <= 0) {
            return false;
        }
        this.remaining.set(demand.holder, remaining - 1);
        this.free.set(supply.vm, free - 1);
        const holders = this.plan.get(supply.vm);
        holders?.set(demand.holder, (holders.get(demand.holder) ?? 0) + 1);
        return true;
    }

    private addCurrentHolders(): void {
        for (const demand of this.demands) {
            for (const vm of demand.current.keys()) {
                this.plan.get(vm)?.set(demand.holder, 0);
            }
        }
    }
}
