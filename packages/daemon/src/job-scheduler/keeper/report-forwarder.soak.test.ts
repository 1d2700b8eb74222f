import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { createRandom } from "@daisylock/core/testing/create-random.js";
import { leaderCallSchemas } from "@daisylock/protocol/fleet/leader-call-schemas.js";
import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";
import Result from "true-myth/result";
import * as v from "valibot";

import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import { ClaimOutcome } from "../leader/claim-outcome.js";
import { Leadership } from "../leader/leadership.js";
import { TargetReportHandler } from "../leader/target-report-handler.js";
import { FakeKeeper } from "../testing/fake-keeper.js";
import { ManualClock } from "../testing/manual-clock.js";
import { ReportForwarder } from "./report-forwarder.js";

const runs = Number(process.env["DAISYLOCK_SOAK_RUNS"] ?? 15);
const seed = Number(process.env["DAISYLOCK_SOAK_SEED"] ?? 20_261_206);
const targetCount = 4;
const timeoutMs = 850;
const maxLagMs = 400;

const action = fc.oneof(
    { weight: 8, arbitrary: fc.record({ kind: fc.constant("beat" as const), target: fc.nat(targetCount - 1) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("repeat" as const), target: fc.nat(targetCount - 1) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("drain" as const), target: fc.nat(targetCount - 1) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("restart" as const), target: fc.nat(targetCount - 1) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("fail" as const), ms: fc.nat(300) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("older" as const), ms: fc.nat(300) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("malformed" as const), target: fc.nat(targetCount - 1) }) },
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("wait" as const), ms: fc.nat(90) }) },
);

/** Two keepers with copies of different age, which pass heartbeats on to a leader. */
function createFixture(randomSeed: number) {
    const random = createRandom(randomSeed);
    const clock = new ManualClock();
    const state = buildTestFleet(targetCount, { cpu: 2_000, memory: 1_000, gpu: 0 });
    const { targets } = state.fleet;
    /** Incarnations that answer at their addresses, by target. */
    const incarnations = new Map([...targets.values()].map(({ id, incarnation }) => [id, incarnation]));
    const leaderHandler = new TargetReportHandler(
        new Leadership(new FakeKeeper(state), 1),
        clock,
        { record: () => undefined },
        () => undefined,
        {
            collectCrashedRuns: () => [],
            findAnsweredClock: () => undefined,
            noteLeaving: () => undefined,
            noteRunEnds: () => undefined,
        },
        {
            readAnswer: async () => ({ outcome: ClaimOutcome.Confirmed, clockMs: undefined }),
            verifyClaim: async ({ id, incarnation }) => {
                const isRunning = incarnations.get(id) === incarnation;
                return { outcome: isRunning ? ClaimOutcome.Confirmed : ClaimOutcome.Refuted, clockMs: undefined };
            },
        },
    );
    const leader = { failsUntil: 0, olderUntil: 0 };
    const waitFor = (ms: number) =>
        new Promise<void>(resolve => {
            clock.schedule(ms, resolve);
        });
    const buildFailure = (kind: CallFailureKind) => Result.err({ kind, detail: "", isTimeout: false }) as never;
    const sendToLeader = async (name: "report" | "reports", request: unknown, limitMs: number): Promise<never> => {
        const delayMs = Math.floor(random() * 40);
        await waitFor(Math.min(delayMs, limitMs));
        if (clock.readMonotonic() < leader.failsUntil || delayMs >= limitMs) {
            return buildFailure(CallFailureKind.Unanswered);
        }
        if (name === "reports" && clock.readMonotonic() < leader.olderUntil) {
            return buildFailure(CallFailureKind.Unsupported);
        }
        const call = JSON.parse(JSON.stringify(request)) as never;
        if (!v.is(leaderCallSchemas[name], call)) {
            return buildFailure(CallFailureKind.Unanswered);
        }
        const reply = name === "report"
            ? await leaderHandler.handleReport(call)
            : await leaderHandler.handleReports(call);
        await waitFor(Math.floor(random() * 40));
        return (reply.isLeader ? Result.ok(reply.value) : buildFailure(CallFailureKind.Unanswered)) as never;
    };
    const faults: unknown[] = [];
    const keepers = [0, 1].map(() => {
        const copy = new Map(targets);
        const forwarder = new ReportForwarder(sendToLeader, timeoutMs, {
            findTarget: id => copy.get(id),
            clock,
            noteFault: fault => faults.push(fault),
        });
        const updateCopy = () => {
            const latest = new Map(targets);
            clock.schedule(Math.floor(random() * maxLagMs), () => {
                latest.forEach((record, id) => copy.set(id, record));
                updateCopy();
            });
        };
        updateCopy();
        return forwarder;
    });
    return { clock, random, targets, incarnations, leader, keepers, faults };
}

async function runScenario(
    randomSeed: number,
    steps: readonly (typeof action extends fc.Arbitrary<infer Value> ? Value : never)[],
): Promise<void> {
    const { clock, random, targets, incarnations, leader, keepers, faults } = createFixture(randomSeed);
    const views = [...targets.values()].map(record => ({ record: { ...record }, sequence: 0 }));
    const violations: string[] = [];
    let openCount = 0;
    const send = (report: TargetReport): void => {
        const keeper = keepers[Math.floor(random() * keepers.length)];
        const sentAt = clock.readMonotonic();
        openCount += 1;
        void keeper?.forwardReport(report).then(reply => {
            openCount -= 1;
            if (clock.readMonotonic() - sentAt > timeoutMs + 100) {
                violations.push(`late reply to ${report.record.id}`);
            }
            const { id, incarnation, state } = report.record;
            const known = targets.get(id);
            const isDrained = known?.incarnation !== incarnation || known.state === ReportedTargetState.Draining;
            if (reply.isOk && reply.value.isNewest && state === ReportedTargetState.Draining && !isDrained) {
                violations.push(`a drain of ${id} is acknowledged and not recorded`);
            }
        });
    };
    const drained = new Set<string>();
    const latest = new Map<string, number>();
    for (const step of steps) {
        const view = "target" in step ? views[step.target] : undefined;
        if (step.kind === "wait") {
            await clock.runFor(step.ms);
        }
        else if (step.kind === "fail") {
            leader.failsUntil = clock.readMonotonic() + step.ms;
        }
        else if (step.kind === "older") {
            leader.olderUntil = clock.readMonotonic() + step.ms;
        }
        else if (view !== undefined) {
            if (step.kind === "drain") {
                view.record = { ...view.record, state: ReportedTargetState.Draining };
            }
            if (step.kind === "restart") {
                const { incarnation } = view.record;
                view.record = { ...view.record, incarnation: incarnation + 1, state: ReportedTargetState.Ready };
                view.sequence = 0;
                incarnations.set(view.record.id, incarnation + 1);
            }
            view.sequence += step.kind === "repeat" ? 0 : 1;
            const isMalformed = step.kind === "malformed";
            const record = isMalformed ? { ...view.record, zone: undefined as never } : view.record;
            send({ record, sequence: view.sequence, clockMs: undefined, remainingMs: undefined });
        }
        for (const { id, incarnation, state } of targets.values() as Iterable<TargetRecord>) {
            const key = `${id} ${incarnation}`;
            if (drained.has(key) && state === ReportedTargetState.Ready) {
                violations.push(`${key} is ready again`);
            }
            if ((latest.get(id) ?? 0) > incarnation) {
                violations.push(`${key} replaces a later incarnation`);
            }
            latest.set(id, incarnation);
            if (state === ReportedTargetState.Draining) {
                drained.add(key);
            }
        }
        expect(violations).toEqual([]);
    }
    await clock.runFor(2 * timeoutMs);
    expect([violations, openCount, faults]).toEqual([[], 0, []]);
}

describe("ReportForwarder", () => {
    it(
        "replies to each heartbeat in time and acknowledges no drain that is not recorded, whatever the age of its copy",
        () =>
            fc.assert(fc.asyncProperty(fc.nat(), fc.array(action, { minLength: 20, maxLength: 80 }), runScenario), {
                numRuns: runs,
                seed,
                endOnFailure: true,
            }),
        Math.max(60_000, runs * 1_000),
    );
});
