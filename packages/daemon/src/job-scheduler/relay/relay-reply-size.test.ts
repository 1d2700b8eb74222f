import { describe, expect, it } from "@jest/globals";

import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import { TargetRequestKind } from "../targets/target-request-kind.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import { ManualClock } from "../testing/manual-clock.js";
import { TargetRequestRelay } from "./target-request-relay.js";

/** Largest frame that a channel between keepers takes, bytes. */
const maxFrameBytes = 16 * 1_024 * 1_024;
/** Rows of a list that still fits into the largest response of a target: ["",1,"",0,0] takes 13 bytes. */
const runningCount = 1_000_000;

describe("TargetRequestRelay", () => {
    // A frame that is too large closes the channel, and with it the requests to all targets of this relay.
    it("replies to a batch in messages that a channel takes, whatever one of the targets lists", async () => {
        const row = { task: "", run: 1, saved: "", percent: 0, load: 0 };
        const response: LeaseRenewalResponse = {
            result: TargetRequestResult.Done,
            clockMs: 1,
            incarnation: 1,
            running: Array.from({ length: runningCount }, () => row),
            ended: [],
            areAllEndsListed: true,
        };
        const clock = new ManualClock();
        const relay = new TargetRequestRelay({ send: async () => response }, clock, ({ error }) => {
            throw error;
        });
        const builders: (() => Buffer)[] = [];
        const channel = {
            scheduleNotice: (_path: string, buildBody: () => Buffer) => builders.push(buildBody) > 0,
        };
        const request = { fencingToken: 1, lastSeen: 0, waitMs: 0 };
        const body = {
            target: { id: "t0", address: "10.0.0.1:80" },
            sentAtMs: clock.readWall(),
            request,
        };
        await relay.handleBatch(Buffer.from(JSON.stringify([[1, TargetRequestKind.Renew, body]])), channel);
        expect(builders).toHaveLength(1);
        expect(Math.max(...builders.map(buildBody => buildBody().length))).toBeLessThan(maxFrameBytes);
    });
});
