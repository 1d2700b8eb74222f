import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type { SubmitJobCommand } from "@daisylock/core/control/submit-job-command.js";
import { applySubmitJob } from "@daisylock/core/jobs/apply-submit-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { JobAction } from "@daisylock/protocol/fleet/job-action.js";
import { JobOutcome } from "@daisylock/protocol/fleet/job-outcome.js";
import type { JobReply } from "@daisylock/protocol/fleet/job-reply.js";
import { describe, expect, it } from "@jest/globals";

import { DecisionLog } from "../logging/decision-log.js";
import { FakeKeeper } from "../testing/fake-keeper.js";
import { ManualClock } from "../testing/manual-clock.js";
import { JobCallHandler } from "./job-call-handler.js";
import { JobStateBudget } from "./job-state-budget.js";
import { Leadership } from "./leadership.js";

const capacity = { cpu: 4_000, memory: 1_000, gpu: 0 };
const keepStateS = 120;

function createFixture(limitBytes: number) {
    const state = buildTestFleet(1, capacity);
    const keeper = new FakeKeeper(state);
    const log = new DecisionLog("k0", "silent");
    const budget = new JobStateBudget(limitBytes, new ManualClock());
    const handler = new JobCallHandler(new Leadership(keeper, 1), log, budget, keepStateS, () => undefined);
    const job = { spec: "spec", steps: [buildTestStep({ count: 100 })], times: 0, startAtMs: 0, intervalMs: 0 };
    return {
        state,
        keeper,
        job,
        addJob: async (number: number): Promise<JobReply> => {
            const path = `/batch/${buildId(number)}`;
            const reply = await handler.handleCall({ verb: JobAction.Submit, host: "h", path, key: "", job });
            expect(reply.isLeader).toBe(true);
            return reply.isLeader ? reply.value : { outcome: JobOutcome.Unknown };
        },
    };
}

function buildId(number: number): string {
    return number.toString(16).padStart(16, "0");
}

const isSubmission = (command: ControlCommand): boolean => command.kind === CommandKind.SubmitJob;

describe("a job for which the keepers have no memory", () => {
    it("is refused with the time after which to try again, and nothing of it is stored", async () => {
        const { addJob, keeper, state } = createFixture(100_000);
        const replies = await Promise.all(Array.from({ length: 10 }, (_, index) => addJob(index)));
        const accepted = replies.filter(({ outcome }) => outcome === JobOutcome.Accepted);
        const refused = replies.filter(({ outcome }) => outcome === JobOutcome.Refused);
        expect(accepted.length).toBeGreaterThan(0);
        expect(accepted.length + refused.length).toBe(10);
        expect(refused.length).toBeGreaterThan(0);
        refused.forEach(({ retryAfterS }) => expect(retryAfterS).toBeGreaterThanOrEqual(1));
        expect(state.fleet.jobs.size).toBe(accepted.length);
        expect(keeper.commands.filter(isSubmission)).toHaveLength(accepted.length);
    });

    it("is acknowledged again when it was accepted before", async () => {
        const { addJob } = createFixture(100_000);
        expect(await addJob(0)).toEqual({ outcome: JobOutcome.Accepted });
        for (let index = 1; index < 10; index++) {
            await addJob(index);
        }
        expect(await addJob(0)).toEqual({ outcome: JobOutcome.Accepted });
    });

    // Guards against the refusal of a job that an earlier call, still being committed, gets accepted.
    it("is not refused while an earlier call for it may still be accepted", async () => {
        const { addJob, keeper, state, job } = createFixture(1_000);
        const earlier: SubmitJobCommand = {
            kind: CommandKind.SubmitJob,
            id: buildId(1),
            queue: "q-batch",
            account: "",
            request: job,
            atMs: 0,
        };
        keeper.refuseCommand = command => {
            if (command.kind === CommandKind.ConfirmLeadership) {
                applySubmitJob(state, earlier);
            }
            return undefined;
        };
        expect(await addJob(1)).toEqual({ outcome: JobOutcome.Accepted });
    });
});
