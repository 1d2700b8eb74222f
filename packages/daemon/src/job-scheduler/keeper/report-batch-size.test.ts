import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import { describe, expect, it } from "@jest/globals";
import Result from "true-myth/result";

import { ManualClock } from "../testing/manual-clock.js";
import { ReportForwarder } from "./report-forwarder.js";

/** Largest frame that a channel between keepers takes, bytes. */
const maxFrameBytes = 16 * 1_024 * 1_024;
/** Longest labels that a heartbeat may have; each character takes six bytes as JSON. */
const labels = Array.from({ length: 64 }, () => "\u0001".repeat(256));

const record: TargetRecord = {
    id: "t0",
    incarnation: 1,
    pool: "pool",
    address: "10.0.0.1:80",
    zone: "z",
    vm: "vm",
    rack: "",
    labels,
    capacity: { cpu: 1_000, memory: 1_000, gpu: 0 },
    state: ReportedTargetState.Ready,
};

describe("ReportForwarder", () => {
    // A frame that is too large closes the channel, with all other calls and the replicated log on it.
    it("passes many repeats of a large heartbeat on in calls that a channel takes", async () => {
        const clock = new ManualClock();
        const sizes: number[] = [];
        const forwarder = new ReportForwarder(
            async (name, request) => {
                sizes.push(Buffer.byteLength(JSON.stringify(request)));
                const reply = name === "report"
                    ? { isNewest: true }
                    : {
                        replies: (request as { reports: readonly TargetReport[] }).reports.map(() => ({
                            reply: { isNewest: true },
                        })),
                    };
                return Result.ok(reply as never);
            },
            850,
            { findTarget: () => record, clock, noteFault: () => undefined },
        );
        const replies = Array.from(
            { length: 250 },
            (_, sequence) => forwarder.forwardReport({ record, sequence, clockMs: 1, remainingMs: undefined }),
        );
        await clock.runFor(100);
        await Promise.all(replies);
        expect(Math.max(...sizes)).toBeLessThan(maxFrameBytes);
    });
});
