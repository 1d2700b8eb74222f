import { afterEach, describe, expect, it } from "@jest/globals";
import Result from "true-myth/result";

import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { HttpCall } from "../../http-client/http-call.js";
import type { HttpClient } from "../../http-client/http-client.js";
import { LeaderClient } from "../peers/leader-client.js";
import { ManualClock } from "../testing/manual-clock.js";
import { runWorker } from "../testing/run-worker.js";
import { LeaderMonitor } from "./leader-monitor.js";

const keepers = ["10.0.0.1:70"];

describe("LeaderMonitor", () => {
    let monitor: LeaderMonitor;
    afterEach(() => monitor.stop());

    /** A leader that counts pings, and an entry that calls it at an interval. */
    function createFixture(callIntervalMs: number) {
        const clock = new ManualClock();
        let pings = 0;
        let isResponding = true;
        let hasConfiguration = true;
        const http = {
            send: async (call: HttpCall): ReturnType<HttpClient["send"]> => {
                pings += call.path.endsWith("/ping") ? 1 : 0;
                const body = Buffer.from(JSON.stringify({ isLeader: true, value: { hasConfiguration, keepers } }));
                return isResponding
                    ? Result.ok({ status: 200, body })
                    : Result.err({ kind: CallFailureKind.NotSent, detail: "refused", isTimeout: false });
            },
        };
        const client = new LeaderClient(http, keepers, clock, () => undefined);
        monitor = new LeaderMonitor(client, { record: () => undefined } as never, clock);
        const runFor = runWorker(monitor, clock);
        return {
            setResponding: (value: boolean) => {
                isResponding = value;
            },
            removeConfiguration: () => {
                hasConfiguration = false;
            },
            runFor: async (ms: number) => {
                pings = 0;
                for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += callIntervalMs) {
                    void client.send("findLeader", {}, 600);
                    await runFor(callIntervalMs);
                }
                return pings;
            },
        };
    }

    // The pings of 97 entries were a fifth of the messages of a leader that had no processor time left.
    it("pings the leader once a second while it replies to other calls, and four times without them", async () => {
        const busy = createFixture(100);
        await busy.runFor(1_000);
        expect(await busy.runFor(4_000)).toBeLessThanOrEqual(5);
        monitor.stop();
        const idle = createFixture(2_000);
        await idle.runFor(2_000);
        expect(await idle.runFor(4_000)).toBeGreaterThanOrEqual(14);
    });

    it("is ready while the leader replies, and not 1.2 s after its last reply", async () => {
        const { runFor, setResponding } = createFixture(100);
        await runFor(1_000);
        expect(monitor.isReady()).toBe(true);
        setResponding(false);
        await runFor(900);
        expect(monitor.isReady()).toBe(true);
        await runFor(400);
        expect(monitor.isReady()).toBe(false);
        setResponding(true);
        await runFor(500);
        expect(monitor.isReady()).toBe(true);
    });

    it("is not ready while a leader that replies to calls has no configuration", async () => {
        const { runFor, removeConfiguration } = createFixture(100);
        removeConfiguration();
        await runFor(2_000);
        expect(monitor.isReady()).toBe(false);
    });
});
