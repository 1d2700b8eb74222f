import { computeFairSplit } from "./compute-fair-split.js";
import type { SlotDemand } from "./slot-demand.js";
import type { SlotSupply } from "./slot-supply.js";

/** Slots by VM and holder. */
type SlotPlan = Map<string, Map<string, number>>;

/**
 * Plans which entry may use which slots of a pool. Each entry gets its part of the pool by demand, in its own zone as
 * far as possible; what it has already is kept where it fits the plan.
 * @param supplies - targets that take work
 * @param claims - entries that take part
 * @returns units by VM and holder; a holder that gets none on a VM is named with 0 when it has some now
 */
export function planPoolSlots(supplies: readonly SlotSupply[], claims: readonly SlotDemand[]): SlotPlan {
    const planner = new SlotPlanner(supplies, claims);
    planner.runPass(buildCurrentLimit(true));
    planner.runPass(localZoneLimit);
    planner.runPass(buildCurrentLimit(false));
    planner.runPass(() => Infinity);
    return planner.readPlan();
}

/** Most units that a claim may take of a supply in one pass. */
type PassLimit = (claim: SlotDemand, supply: SlotSupply) => number;

const localZoneLimit: PassLimit = (claim, supply) => (claim.zone === supply.zone ? Infinity : 0);

function buildCurrentLimit(isLocalPass: boolean): PassLimit {
    return (claim, supply) => (claim.zone === supply.zone) === isLocalPass ? claim.current.get(supply.vm) ?? 0 : 0;
}

/** Hands out slots pass by pass, evenly over the targets. */
class SlotPlanner {
    private readonly plan: SlotPlan = new Map();
    private readonly free = new Map<string, number>();
    private readonly remaining: Map<string, number>;

    constructor(private readonly supplies: readonly SlotSupply[], private readonly claims: readonly SlotDemand[]) {
        const capacity = supplies.reduce((sum, supply) => sum + supply.slots, 0);
        this.remaining = computeFairSplit(capacity, claims);
        for (const supply of supplies) {
            this.free.set(supply.vm, supply.slots);
            this.plan.set(supply.vm, new Map());
        }
        this.addCurrentHolders();
    }

    runPass(limit: PassLimit): void {
        // One unit at a time in turn, so that no entry and no target is filled before the others.
        const open = this.claims.flatMap(claim =>
            this.supplies
                .map(supply => ({ claim, supply, left: limit(claim, supply) }))
                .filter(offer => offer.left > 0)
        );
        let isProgress = true;
        while (isProgress) {
            isProgress = false;
            for (const offer of open) {
                if (offer.left > 0 && this.takeUnit(offer.claim, offer.supply)) {
                    offer.left -= 1;
                    isProgress = true;
                }
            }
        }
    }

    readPlan(): SlotPlan {
        return this.plan;
    }

    private takeUnit(claim: SlotDemand, supply: SlotSupply): boolean {
        const due = this.remaining.get(claim.holder) ?? 0;
        const free = this.free.get(supply.vm) ?? 0;
        if (due <= 0 || free <= 0) {
            return false;
        }
        this.remaining.set(claim.holder, due - 1);
        this.free.set(supply.vm, free - 1);
        const holders = this.plan.get(supply.vm);
        holders?.set(claim.holder, (holders.get(claim.holder) ?? 0) + 1);
        return true;
    }

    private addCurrentHolders(): void {
        for (const claim of this.claims) {
            for (const vm of claim.current.keys()) {
                this.plan.get(vm)?.set(claim.holder, 0);
            }
        }
    }
}
