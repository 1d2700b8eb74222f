import { describe, expect, it } from "@jest/globals";

import { buildPlacementTargets } from "../placement/build-placement-targets.js";
import { planStarts } from "../placement/plan-starts.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { pickAdviceTargets } from "./pick-advice-targets.js";
import { TicketCache } from "./ticket-cache.js";

const step = "a.0.0";
const estimator = { computeStepMs: () => 500, readMeanJobWork: () => 1 };

function buildRound(targets: number, count: number) {
    const state = buildTestFleet(targets, { cpu: 2_000, memory: 1_000, gpu: 0 });
    const { configuration } = state.fleet;
    if (configuration === undefined) {
        throw new TypeError("the test fleet has no configuration");
    }
    const advice = { decideMs: 50, perTargetMs: 5, validityMs: 3_000 };
    const queues = configuration.queues.map(queue => ({ ...queue, advice }));
    state.fleet.configuration = { ...configuration, queues };
    addTestJob(state, "a", [buildTestStep({ count })]);
    const views = buildPlacementTargets(state.fleet, () => Number.POSITIVE_INFINITY);
    const candidates = collectCandidates(state.fleet, 0, estimator);
    const [candidate] = candidates;
    if (candidate === undefined) {
        throw new TypeError("nothing waits");
    }
    return { state, views, candidates, candidate, web: views.get("web") ?? [] };
}

describe("advice on where a step may run", () => {
    it("asks about thirty targets at most, and about others when these have too little room", () => {
        const { candidate, web } = buildRound(40, 60);
        const tickets = new TicketCache();
        const first = pickAdviceTargets(candidate, step, web, tickets, 0);
        expect(first).toHaveLength(30);
        tickets.recordAnswer(step, first, new Map(first.slice(0, 5).map(id => [id, "ticket"])), 3_000);
        const second = pickAdviceTargets(candidate, step, web, tickets, 100);
        expect(second).toHaveLength(10);
        expect(second.some(id => first.includes(id))).toBe(false);
    });

    it("asks nobody while the targets with tickets have room, and again when the tickets have ended", () => {
        const { candidate, web } = buildRound(4, 2);
        const tickets = new TicketCache();
        tickets.recordAnswer(step, web.map(({ record }) => record.id), new Map([["t1", "ticket"]]), 3_000);
        expect(pickAdviceTargets(candidate, step, web, tickets, 2_999)).toEqual([]);
        expect(pickAdviceTargets(candidate, step, web, tickets, 3_001)).toEqual(["t1"]);
    });

    it("starts tasks on targets with a ticket only", () => {
        const { state, views, candidates } = buildRound(4, 8);
        const isAdvised = (name: string, target: string) => name === step && target === "t2";
        const starts = planStarts(state.fleet, candidates, views, { isAdvised });
        expect(starts.map(({ target }) => target)).toEqual(["t2", "t2"]);
    });

    it("asks again about a target that did not take its ticket", () => {
        const { candidate, web } = buildRound(1, 2);
        const tickets = new TicketCache();
        tickets.recordAnswer(step, ["t0"], new Map([["t0", "ticket"]]), 3_000);
        tickets.dropTicket(step, "t0");
        expect(pickAdviceTargets(candidate, step, web, tickets, 10)).toEqual(["t0"]);
    });

    it("forgets steps that have nothing left to start", () => {
        const tickets = new TicketCache();
        tickets.recordAnswer(step, ["t0"], new Map([["t0", "ticket"]]), 3_000);
        tickets.dropUnneededSteps(() => false);
        expect(tickets.findTicket(step, "t0", 10)).toBeUndefined();
    });
});
