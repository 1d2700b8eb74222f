import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import type { FleetState } from "../fleet/fleet-state.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { computeHomeCapacities } from "./compute-home-capacities.js";
import { VmCapacityIndex } from "./vm-capacity-index.js";

const pools = ["web", "batch", "off"];

/** Searches all targets for each VM. */
function findCpu(fleet: FleetState, vm: string): number {
    const targets = [...fleet.targets.values()];
    return targets.find(target => target.vm === vm)?.capacity.cpu
        ?? Math.min(...targets.map(({ capacity }) => capacity.cpu));
}

function computeBySearch(fleet: FleetState, pool: string): number {
    const targets = [...fleet.targets.values()];
    const movedAway = [...fleet.vmHomes].filter(([vm, home]) =>
        home === pool && !targets.some(target => target.vm === vm && target.pool === pool)
    );
    const own = targets.filter(target => target.pool === pool && (fleet.vmHomes.get(target.vm) ?? pool) === pool);
    return own.reduce((sum, { capacity }) => sum + capacity.cpu, 0)
        + movedAway.reduce((sum, [vm]) => sum + findCpu(fleet, vm), 0);
}

describe("capacity of the VMs whose home is a pool", () => {
    it("is the same as with a search of all targets for each VM", () => {
        const vm = fc.constantFrom("", "vm0", "vm1", "vm2", "vm3", "vm4", "vm5");
        const pool = fc.constantFrom(...pools);
        const target = fc.record({ vm, pool, cpu: fc.integer({ min: 1, max: 9 }) });
        fc.assert(
            fc.property(fc.array(target, { maxLength: 8 }), fc.array(fc.tuple(vm, pool)), (targets, homes) => {
                const { fleet } = buildTestFleet(targets.length, { cpu: 1, memory: 1, gpu: 0 });
                targets.forEach((fields, index) => {
                    const record = fleet.targets.get(`t${index}`);
                    if (record !== undefined) {
                        const capacity = { cpu: fields.cpu, memory: 1, gpu: 0 };
                        fleet.targets.set(record.id, { ...record, vm: fields.vm, pool: fields.pool, capacity });
                    }
                });
                homes.forEach(([movedVm, home]) => fleet.vmHomes.set(movedVm, home));
                const capacities = computeHomeCapacities(fleet, new VmCapacityIndex(fleet.targets.values()));
                pools.forEach(name => expect(capacities.get(name) ?? 0).toBe(computeBySearch(fleet, name)));
            }),
            { numRuns: 500 },
        );
    });
});
