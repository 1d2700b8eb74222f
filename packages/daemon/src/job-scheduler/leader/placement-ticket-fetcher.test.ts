import { buildPlacementTargets } from "@daisylock/core/placement/build-placement-targets.js";
import { collectCandidates } from "@daisylock/core/queueing/collect-candidates.js";
import { addTestJob } from "@daisylock/core/testing/add-test-job.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import type { AdviceResponse } from "../advice/advice-response.js";
import { AdviceService } from "../advice/advice-service.js";
import { ManualClock } from "../testing/manual-clock.js";
import { PlacementTicketFetcher } from "./placement-ticket-fetcher.js";

const advice = { decideMs: 100, perTargetMs: 10, validityMs: 2_000 };

/** Answers after the time that the rule says, for one target; or never. */
class FakeAdviceService extends AdviceService {
    isAnswering = true;
    readonly questions: { step: string; targets: readonly string[] }[] = [];

    constructor(private readonly clock: ManualClock) {
        super();
    }

    override async sendRequest(
        step: string,
        targets: readonly string[],
        timeoutMs: number,
    ): Promise<AdviceResponse | undefined> {
        this.questions.push({ step, targets });
        const takesMs = this.isAnswering ? advice.decideMs + advice.perTargetMs * targets.length : timeoutMs;
        await new Promise<void>(resolve => {
            this.clock.schedule(takesMs, resolve);
        });
        return this.isAnswering
            ? { ticketsByTarget: new Map([["t1", "ticket"]]), validityMs: advice.validityMs }
            : undefined;
    }
}

function createFixture(jobs = 1) {
    const clock = new ManualClock();
    const service = new FakeAdviceService(clock);
    const state = buildTestFleet(3, { cpu: 2_000, memory: 1_000, gpu: 0 });
    const { configuration } = state.fleet;
    if (configuration === undefined) {
        throw new TypeError("the test fleet has no configuration");
    }
    state.fleet.configuration = { ...configuration, queues: configuration.queues.map(queue => ({ ...queue, advice })) };
    for (let job = 0; job < jobs; job++) {
        addTestJob(state, `j${job}`, [buildTestStep()]);
    }
    const desk = new PlacementTicketFetcher({
        service,
        clock,
        log: { record: () => undefined },
        startScheduling: () => undefined,
    });
    const update = () =>
        desk.updateTickets(
            collectCandidates(state.fleet, 0, { computeStepMs: () => 500, readMeanJobWork: () => 1 }),
            buildPlacementTargets(state.fleet, () => Number.POSITIVE_INFINITY),
        );
    return { clock, service, desk, update };
}

describe("the desk that gets tickets", () => {
    it("asks once about a step and has a ticket when the answer comes", async () => {
        const { clock, service, desk, update } = createFixture();
        update();
        update();
        expect(service.questions).toHaveLength(1);
        expect(desk.findTicket("j0.0.0", "t1")).toBeUndefined();
        await clock.runFor(130);
        expect(desk.findTicket("j0.0.0", "t1")).toBe("ticket");
        expect(desk.findTicket("j0.0.0", "t0")).toBeUndefined();
    });

    it("does not use a ticket that may end before the order arrives", async () => {
        const { clock, desk, update } = createFixture();
        update();
        await clock.runFor(130 + 1_600);
        expect(desk.findTicket("j0.0.0", "t1")).toBe("ticket");
        await clock.runFor(200);
        expect(desk.findTicket("j0.0.0", "t1")).toBeUndefined();
    });

    it("has few questions under way at a time", () => {
        const { service, update } = createFixture(40);
        update();
        expect(service.questions.length).toBeLessThanOrEqual(8);
    });

    it("asks again when no answer came", async () => {
        const { clock, service, desk, update } = createFixture();
        service.isAnswering = false;
        update();
        await clock.runFor(5_000);
        service.isAnswering = true;
        update();
        await clock.runFor(200);
        expect(service.questions).toHaveLength(2);
        expect(desk.findTicket("j0.0.0", "t1")).toBe("ticket");
    });
});
