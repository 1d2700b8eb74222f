import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { planRunSync } from "./plan-run-sync.js";

const run = (task: string, number = 1) => ({ task, run: number });
const noRequest = () => undefined;
const settled = { confirmedAt: 5, isStopConfirmed: false };
const isStopped = { confirmedAt: 5, isStopConfirmed: true };

describe("a target's list of runs", () => {
    it("confirms the recorded runs that it names, running or ended, also of a task that it names twice", () => {
        const list = {
            running: [run("a"), run("c", 2)],
            ended: [run("b"), run("c"), run("c", 1)],
            isComplete: false,
            requestedAt: 10,
        };
        const recorded = new Map([["a", 1], ["b", 1], ["c", 2]]);
        const plan = planRunSync(recorded, list, noRequest);
        expect(plan.confirmed).toEqual([run("a"), run("b"), run("c", 2)]);
        expect([plan.unstarted, plan.lost, plan.stopped, plan.unassigned]).toEqual([[], [], [], []]);
    });

    // Guards against a task that is started again because its end as done was not listed yet.
    it("tells nothing of a run that it does not name while further ends are to come", () => {
        const list = { running: [], ended: [run("a")], isComplete: false, requestedAt: 10 };
        const recorded = new Map([["b", 1]]);
        for (const request of [undefined, settled, isStopped]) {
            expect(planRunSync(recorded, list, () => request))
                .toEqual({ confirmed: [], unstarted: [], lost: [], stopped: [], unassigned: [] });
        }
    });

    it("tells that a run is missing when it holds all ends", () => {
        const list = { running: [], ended: [], isComplete: true, requestedAt: 10 };
        const recorded = new Map([["a", 1]]);
        expect(planRunSync(recorded, list, noRequest).unstarted).toEqual([run("a")]);
        expect(planRunSync(recorded, list, () => settled).lost).toEqual([run("a")]);
        expect(planRunSync(recorded, list, () => isStopped).stopped).toEqual([run("a")]);
    });

    it("does not reflect a request that was confirmed after it was requested", () => {
        const list = { running: [], ended: [], isComplete: true, requestedAt: 5 };
        for (const request of [settled, isStopped]) {
            expect(planRunSync(new Map([["a", 1]]), list, () => request))
                .toEqual({ confirmed: [], unstarted: [], lost: [], stopped: [], unassigned: [] });
        }
    });

    it("names runs to stop that are recorded elsewhere or with another number", () => {
        const list = { running: [run("a"), run("b", 2)], ended: [], isComplete: false, requestedAt: 5 };
        expect(planRunSync(new Map([["b", 3]]), list, noRequest).unassigned).toEqual([run("a"), run("b", 2)]);
    });

    it("never has a run stopped or recorded as stopped that has ended, however few ends it holds at a time", () => {
        const scenario = fc.record({
            limit: fc.integer({ min: 1, max: 4 }),
            endedCounts: fc.array(fc.nat(4), { minLength: 1, maxLength: 20 }),
            isAnswered: fc.infiniteStream(fc.boolean()),
        });
        fc.assert(fc.property(scenario, ({ limit, endedCounts, isAnswered }) => {
            const tasks = Array.from({ length: 40 }, (_, index) => `t${index}`);
            const recorded = new Map(tasks.map(task => [task, 1]));
            const running = [...tasks];
            let ended: string[] = [];
            for (const [requestedAt, count] of [...endedCounts, ...tasks.map(() => 0)].entries()) {
                ended.push(...running.splice(0, count));
                const listed = ended.slice(0, limit);
                if (requestedAt < endedCounts.length && isAnswered.next().value === false) {
                    continue;
                }
                listed.forEach(task => recorded.delete(task));
                const list = {
                    running: running.map(task => run(task)),
                    ended: listed.map(task => run(task)),
                    isComplete: ended.length < limit,
                    requestedAt: requestedAt + 1,
                };
                const plan = planRunSync(recorded, list, () => ({ confirmedAt: 0, isStopConfirmed: true }));
                expect([plan.lost, plan.stopped, plan.unstarted]).toEqual([[], [], []]);
                ended = ended.slice(limit);
            }
            expect([...recorded.keys()]).toEqual(running);
        }));
    });
});
