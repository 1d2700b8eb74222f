import { describe, expect, it } from "@jest/globals";

import { computePollTimeoutMs } from "./compute-poll-timeout-ms.js";

describe("computePollTimeoutMs", () => {
    it("grows while the leader has little time to spare", () => {
        expect([0, 0.3, 0.6, 0.725, 0.85, 1].map(computePollTimeoutMs)).toEqual([500, 500, 500, 1_000, 1_500, 1_500]);
    });
});
