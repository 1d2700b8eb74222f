import { JobAction } from "@daisylock/protocol/fleet/job-action.js";
import type { JobCall } from "@daisylock/protocol/fleet/job-call.js";
import { JobOutcome } from "@daisylock/protocol/fleet/job-outcome.js";
import { describe, expect, it } from "@jest/globals";
import Result from "true-myth/result";

import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import { JobGateway } from "./job-gateway.js";

const submit: JobCall = { verb: JobAction.Submit, host: "h", path: "/web/a", key: "", job: undefined };
const read: JobCall = { ...submit, verb: JobAction.Read };

function createGateway(kind: CallFailureKind) {
    const timeouts: number[] = [];
    const leaderClient = {
        send: async (_name: string, _request: unknown, timeoutMs: number) => {
            timeouts.push(timeoutMs);
            return Result.err({ kind, detail: "timeout", isTimeout: true });
        },
    };
    return { timeouts, gateway: new JobGateway(leaderClient as never, { record: () => undefined }) };
}

describe("JobGateway", () => {
    it("reports that nothing has run, with a retry delay, when no leader was reached", async () => {
        const { gateway } = createGateway(CallFailureKind.NotSent);
        expect(await gateway.handleCall(submit, 3_000)).toMatchObject({
            outcome: JobOutcome.Unavailable,
            retryAfterS: 1,
        });
    });

    it("reports an unknown outcome when the job may have been accepted", async () => {
        const { gateway } = createGateway(CallFailureKind.Unanswered);
        expect(await gateway.handleCall(submit, 3_000)).toEqual({ outcome: JobOutcome.Unknown });
    });

    it("reports an unanswered read as unavailable, because a read has no effect", async () => {
        const { gateway } = createGateway(CallFailureKind.Unanswered);
        expect(await gateway.handleCall(read, 3_000)).toMatchObject({ outcome: JobOutcome.Unavailable });
    });

    it("does not send a request that cannot be completed in time, so that it has certainly not run", async () => {
        const { gateway, timeouts } = createGateway(CallFailureKind.Unanswered);
        expect(await gateway.handleCall(submit, 80)).toMatchObject({ outcome: JobOutcome.Unavailable });
        expect(timeouts).toEqual([]);
        await gateway.handleCall(submit, 400);
        expect(timeouts).toEqual([370]);
    });
});
