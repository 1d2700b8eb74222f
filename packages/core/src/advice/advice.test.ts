import { describe, expect, it } from "@jest/globals";

import { buildPlacementTargets } from "../placement/build-placement-targets.js";
import { planStarts } from "../placement/plan-starts.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { addTestJob } from "../testing/add-test-job.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { buildTestStep } from "../testing/build-test-step.js";
import { pickAdviceTargets } from "./pick-advice-targets.js";
import { TicketCache } from "./ticket-cache.js";

const stepKey = "a.0.0";
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
        throw new TypeError("no step has waiting tasks");
    }
    return { state, views, candidates, candidate, web: views.get("web") ?? [] };
}

describe("placement tickets of a step", () => {
    it("queries at most thirty targets, and others when those with tickets have too little free capacity", () => {
        const { candidate, web } = buildRound(40, 60);
        const tickets = new TicketCache();
        const first = pickAdviceTargets(candidate, stepKey, web, tickets, 0);
        expect(first).toHaveLength(30);
        tickets.recordResponse(stepKey, first, new Map(first.slice(0, 5).map(id => [id, "ticket"])), 3_000);
        const second = pickAdviceTargets(candidate, stepKey, web, tickets, 100);
        expect(second).toHaveLength(10);
        expect(second.some(id => first.includes(id))).toBe(false);
    });

    it("queries no target while those with tickets have enough free capacity, and queries again after expiry", () => {
        const { candidate, web } = buildRound(4, 2);
        const tickets = new TicketCache();
        tickets.recordResponse(stepKey, web.map(({ record }) => record.id), new Map([["t1", "ticket"]]), 3_000);
        expect(pickAdviceTargets(candidate, stepKey, web, tickets, 2_999)).toEqual([]);
        expect(pickAdviceTargets(candidate, stepKey, web, tickets, 3_001)).toEqual(["t1"]);
    });

    it("starts tasks on targets with a ticket only", () => {
        const { state, views, candidates } = buildRound(4, 8);
        const isAdvised = (key: string, target: string) => key === stepKey && target === "t2";
        const starts = planStarts(state.fleet, candidates, views, { isAdvised });
        expect(starts.map(({ target }) => target)).toEqual(["t2", "t2"]);
    });

    it("queries a target again after it refused its ticket", () => {
        const { candidate, web } = buildRound(1, 2);
        const tickets = new TicketCache();
        tickets.recordResponse(stepKey, ["t0"], new Map([["t0", "ticket"]]), 3_000);
        tickets.dropTicket(stepKey, "t0");
        expect(pickAdviceTargets(candidate, stepKey, web, tickets, 10)).toEqual(["t0"]);
    });

    it("evicts steps that have no tasks left to start", () => {
        const tickets = new TicketCache();
        tickets.recordResponse(stepKey, ["t0"], new Map([["t0", "ticket"]]), 3_000);
        tickets.dropUnneededSteps(() => false);
        expect(tickets.findTicket(stepKey, "t0", 10)).toBeUndefined();
    });
});
