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

/** Responds with a ticket for one target after the configured time, or times out while `isResponding` is false. */
class FakeAdviceService extends AdviceService {
    isResponding = true;
    readonly requests: { step: string; targets: readonly string[] }[] = [];

    constructor(private readonly clock: ManualClock) {
        super();
    }

    override async sendRequest(
        step: string,
        targets: readonly string[],
        timeoutMs: number,
    ): Promise<AdviceResponse | undefined> {
        this.requests.push({ step, targets });
        const delayMs = this.isResponding ? advice.decideMs + advice.perTargetMs * targets.length : timeoutMs;
        await new Promise<void>(resolve => {
            this.clock.schedule(delayMs, resolve);
        });
        return this.isResponding
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
    const fetcher = new PlacementTicketFetcher({
        service,
        clock,
        log: { record: () => undefined },
        startScheduling: () => undefined,
    });
    const update = () =>
        fetcher.updateTickets(
            collectCandidates(state.fleet, 0, { computeStepMs: () => 500, readMeanJobWork: () => 1 }),
            buildPlacementTargets(state.fleet, () => Number.POSITIVE_INFINITY),
        );
    return { clock, service, fetcher, update };
}

describe("PlacementTicketFetcher", () => {
    it("requests tickets for a step once and provides the ticket after the response", async () => {
        const { clock, service, fetcher, update } = createFixture();
        update();
        update();
        expect(service.requests).toHaveLength(1);
        expect(fetcher.findTicket("j0.0.0", "t1")).toBeUndefined();
        await clock.runFor(130);
        expect(fetcher.findTicket("j0.0.0", "t1")).toBe("ticket");
        expect(fetcher.findTicket("j0.0.0", "t0")).toBeUndefined();
    });

    it("does not use a ticket that may expire before the start request arrives", async () => {
        const { clock, fetcher, update } = createFixture();
        update();
        await clock.runFor(130 + 1_600);
        expect(fetcher.findTicket("j0.0.0", "t1")).toBe("ticket");
        await clock.runFor(200);
        expect(fetcher.findTicket("j0.0.0", "t1")).toBeUndefined();
    });

    it("limits the number of requests in flight", () => {
        const { service, update } = createFixture(40);
        update();
        expect(service.requests.length).toBeLessThanOrEqual(8);
    });

    it("sends the request again when no response arrived", async () => {
        const { clock, service, fetcher, update } = createFixture();
        service.isResponding = false;
        update();
        await clock.runFor(5_000);
        service.isResponding = true;
        update();
        await clock.runFor(200);
        expect(service.requests).toHaveLength(2);
        expect(fetcher.findTicket("j0.0.0", "t1")).toBe("ticket");
    });

    it("sends the request again after a pause when the client of the adviser threw", async () => {
        const { clock, service, fetcher, update } = createFixture();
        const send = service.sendRequest.bind(service);
        let requestCount = 0;
        service.sendRequest = () => {
            requestCount += 1;
            throw new RangeError("bad port");
        };
        for (let round = 0; round < 20; round++) {
            update();
            await clock.runFor(10);
        }
        expect(requestCount).toBeLessThan(5);
        service.sendRequest = send;
        await clock.runFor(1_000);
        update();
        await clock.runFor(200);
        expect(fetcher.findTicket("j0.0.0", "t1")).toBe("ticket");
    });
});
