import { computeNextTimestamp } from "@daisylock/core/events/compute-next-timestamp.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import { describe, expect, it } from "@jest/globals";

import { describeEvent } from "./describe-event.js";
import { encodeChromeTrace } from "./encode-chrome-trace.js";

describe("timeline", () => {
    it("orders the receipt of a message after its sending even when the receiver's clock is behind", () => {
        const sent = computeNextTimestamp({ wallMs: 5_000, counter: 3 }, 4_000);
        const received = computeNextTimestamp({ wallMs: 100, counter: 0 }, 200, sent);
        expect([sent, received]).toEqual([{ wallMs: 5_000, counter: 4 }, { wallMs: 5_000, counter: 5 }]);
    });

    it("has one row per process in the Chrome trace format", () => {
        const event = { time: { wallMs: 1, counter: 2 }, process: "a1", zone: "a", kind: EventKind.LeaderElected };
        const trace = JSON.parse(encodeChromeTrace([event, { ...event, process: "b1" }])) as {
            traceEvents: { pid: number }[];
        };
        expect(trace.traceEvents.map(({ pid }) => pid)).toEqual([0, 1, 0, 1]);
        expect(describeEvent({ ...event, vm: "vm-1" })).toContain("vm=vm-1");
    });
});
