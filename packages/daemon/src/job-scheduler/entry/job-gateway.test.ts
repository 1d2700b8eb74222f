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
    const caller = {
        send: async (_name: string, _request: unknown, timeoutMs: number) => {
            timeouts.push(timeoutMs);
            return Result.err({ kind, detail: "timeout", isSilent: true });
        },
    };
    return { timeouts, gateway: new JobGateway(caller as never, { record: () => undefined }) };
}

describe("the gateway of an entry", () => {
    it("says that nothing has run, and when to come back, when no leader was reached", async () => {
        const { gateway } = createGateway(CallFailureKind.NotSent);
        expect(await gateway.handleCall(submit, 3_000)).toMatchObject({
            outcome: JobOutcome.Unavailable,
            retryAfterS: 1,
        });
    });

    it("says that the outcome is not known when the job may have been accepted", async () => {
        const { gateway } = createGateway(CallFailureKind.Unanswered);
        expect(await gateway.handleCall(submit, 3_000)).toEqual({ outcome: JobOutcome.Unknown });
    });

    it("refuses an unanswered read, which changes nothing", async () => {
        const { gateway } = createGateway(CallFailureKind.Unanswered);
        expect(await gateway.handleCall(read, 3_000)).toMatchObject({ outcome: JobOutcome.Unavailable });
    });

    it("does not send a request that can't be answered in time, so that its refusal is certain", async () => {
        const { gateway, timeouts } = createGateway(CallFailureKind.Unanswered);
        expect(await gateway.handleCall(submit, 80)).toMatchObject({ outcome: JobOutcome.Unavailable });
        expect(timeouts).toEqual([]);
        await gateway.handleCall(submit, 400);
        expect(timeouts).toEqual([370]);
    });
});
