import { defaultRaftTiming } from "@daisylock/core/raft/default-raft-timing.js";
import { describe, expect, it } from "@jest/globals";

import { SystemClock } from "../../clock/system-clock.js";
import { runGoroutine } from "../../concurrency/run-goroutine.js";
import { EventLog } from "../../events/event-log.js";
import { MemoryKeeperStorage } from "../../job-scheduler/testing/memory-keeper-storage.js";
import { describeError } from "../../process-failure/describe-error.js";
import { ApplyFailure } from "./apply-failure.js";
import { Keeper } from "./keeper.js";

describe("a keeper that cannot apply a committed entry", () => {
    it("ends with an error that names the entry and the place", async () => {
        const clock = new SystemClock();
        const keeper = new Keeper({
            storage: new MemoryKeeperStorage("k0"),
            clock,
            random: Math.random,
            timing: defaultRaftTiming,
            events: new EventLog("k0", "a", clock, 16),
            metrics: { recordTime: () => undefined, addCount: () => undefined, setGauge: () => undefined },
            snapshotEntries: 10_000,
            send: () => undefined,
        });
        const end = new Promise(resolve => runGoroutine(() => keeper.run(), resolve));
        await keeper.startCluster("k0");
        while (!keeper.isActiveLeader()) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        const result = await keeper.sendCommand({ kind: "nonsense" } as never);
        expect(result.isErr).toBe(true);
        const error = await end;
        expect(error).toBeInstanceOf(ApplyFailure);
        const { message, stack } = describeError(error);
        expect(message).toMatch(/^entry \d+ of term \d+, a command of kind nonsense, cannot be applied: TypeError/);
        expect(stack).toContain("apply-command");
    });
});
