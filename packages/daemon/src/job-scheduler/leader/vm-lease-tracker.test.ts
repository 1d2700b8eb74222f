import { createControlState } from "@daisylock/core/control/create-control-state.js";
import { describe, expect, it } from "@jest/globals";

import { FakeKeeper } from "../testing/fake-keeper.js";
import { FakeVmService } from "../testing/fake-vm-service.js";
import { ManualClock } from "../testing/manual-clock.js";
import { Leadership } from "./leadership.js";
import { VmLeaseTracker } from "./vm-lease-tracker.js";

const urgentListAgeMs = 400;

async function createFixture() {
    const clock = new ManualClock();
    const vms = new FakeVmService();
    vms.addVm("vm0", "web", "t0");
    vms.addVm("vm1", "web", "t1");
    const leadership = new Leadership(new FakeKeeper(createControlState()), 1);
    const tracker = new VmLeaseTracker({
        leadership,
        vms,
        clock,
        log: { record: () => undefined },
        holder: "core-1",
        holderLeaseMs: 3_000,
    });
    await clock.runFor(100);
    return { clock, vms, tracker };
}

describe("a VM that the VM service does not list", () => {
    // Guards against a gap in a list read in pages, by which tasks were started again that were running on.
    it("counts as gone only when two lists in a row miss it", async () => {
        const { clock, vms, tracker } = await createFixture();
        const complete = vms.vms;
        expect(tracker.findVm("vm1", 50)).toBe("unknown");
        await clock.runFor(10);
        expect(tracker.findVm("vm1", 50)).toMatchObject({ target: "t1" });
        await clock.runFor(urgentListAgeMs + 1);
        const since = clock.readMonotonic();
        const [first] = complete;
        vms.vms = first === undefined ? [] : [first];
        expect(tracker.findVm("vm1", since)).toBe("unknown");
        await clock.runFor(10);
        expect(tracker.findVm("vm1", since)).toBe("unknown");
        vms.vms = complete;
        await clock.runFor(urgentListAgeMs + 1);
        expect(tracker.findVm("vm1", since)).toBe("unknown");
        await clock.runFor(10);
        expect(tracker.findVm("vm1", since)).toMatchObject({ target: "t1" });
    });

    it("counts as gone when two lists in a row miss it", async () => {
        const { clock, vms, tracker } = await createFixture();
        vms.vms = [];
        const found = [];
        for (let list = 0; list < 3; list++) {
            found.push(tracker.findVm("vm1", 50));
            await clock.runFor(urgentListAgeMs + 1);
        }
        expect(tracker.findVm("vm1", 50)).toBeUndefined();
        expect(found).toContain("unknown");
    });
});

describe("a list of VMs whose request throws", () => {
    it("is requested again after a pause", async () => {
        const { clock, vms, tracker } = await createFixture();
        let requestCount = 0;
        const list = vms.listVms.bind(vms);
        vms.listVms = () => {
            requestCount += 1;
            throw new RangeError("bad port");
        };
        const read = async (ms: number) => {
            for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 100) {
                tracker.readLease();
                await clock.runFor(100);
            }
        };
        await read(3_000);
        expect(requestCount).toBeGreaterThan(1);
        expect(requestCount).toBeLessThan(5);
        vms.listVms = list;
        await read(1_500);
        expect(tracker.readVms()).toHaveLength(2);
    });
});
