import { RequestOutcome } from "@daisylock/protocol/http/request-outcome.js";
import { build as buildHistogram } from "hdr-histogram-js";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { createRandom } from "@daisylock/core/testing/create-random.js";
import type { TargetRun } from "../targets/target-run.js";
import { Testbed } from "../testbed/testbed.js";
import { compareOutcomes } from "./compare-outcomes.js";
import { measureShareDeviation } from "./measure-share-deviation.js";
import { measureTeamPeaks } from "./measure-team-peaks.js";
import { planRequests } from "./plan-requests.js";
import type { ScenarioResult } from "./scenario-result.js";
import type { Scenario } from "./scenario.js";
import { scheduleFaults } from "./schedule-faults.js";
import { sendPlannedRequests } from "./send-planned-requests.js";
import type { SentRequest } from "./sent-request.js";

/** Shortest interval between announcements of a target to an entry. */
const announceMs = 1_000;
const shareIntervalMs = 10_000;
/** Start of the run that is excluded from the share measurement, because the queues are not full yet. */
const shareWarmupMs = 5_000;
const firstPort = 30_000;
const firstTargetPort = 31_000;

/**
 * Runs a scenario once under one policy, with real daemon processes on this machine.
 * @param scenario - the scenario
 * @param policy - how queued requests are ordered and targets are chosen
 * @param daemonFile - path of the daemon's JavaScript file
 * @returns the measurements
 */
export async function runScenario(
    scenario: Scenario,
    policy: Scenario["policies"][number],
    daemonFile: string,
): Promise<ScenarioResult> {
    const testbed = buildScenarioTestbed(scenario, policy, daemonFile);
    await testbed.start();
    try {
        const requests = planRequests(scenario, createRandom(scenario.seed));
        const cpuSecondsBefore = await readCpuSeconds(testbed);
        const startedAt = performance.now();
        scheduleFaults(testbed, scenario.faults);
        const sent = await sendPlannedRequests(testbed, requests);
        const cpuSeconds = await readCpuSeconds(testbed) - cpuSecondsBefore;
        return buildResult(scenario, policy, testbed, sent, startedAt, cpuSeconds);
    }
    finally {
        await testbed.stop();
    }
}

function buildScenarioTestbed(scenario: Scenario, policy: Scenario["policies"][number], daemonFile: string): Testbed {
    return new Testbed({
        cluster: {
            zones: scenario.zones,
            entriesPerZone: scenario.entries_per_zone,
            keepers: scenario.keepers,
            firstPort,
            folder: join(tmpdir(), "daisylock-scenario"),
            daemonFile,
            hasLinkProxies: scenario.faults.length > 0,
            settings: { policy },
        },
        pools: scenario.pools.map(pool => ({
            name: pool.name,
            targetsPerZone: pool.targets_per_zone,
            slots: pool.slots,
            serviceMs: pool.service_ms,
            spread: pool.spread,
        })),
        teams: scenario.teams.map(({ name, share, upper_limit }) => ({ name, share, upperLimit: upper_limit })),
        routes: scenario.routes,
        announceMs,
        firstTargetPort,
        random: createRandom(scenario.seed + 1),
    });
}

async function readCpuSeconds(testbed: Testbed): Promise<number> {
    let sum = 0;
    for (const { name } of testbed.cluster.plan.processes) {
        const body = (await testbed.cluster.sendApiRequest("GET", "/v1/process", undefined, name))?.body;
        sum += Number(body?.["processorMicroseconds"] ?? 0) / 1_000_000;
    }
    return sum;
}

function buildResult(
    scenario: Scenario,
    policy: Scenario["policies"][number],
    testbed: Testbed,
    sent: readonly SentRequest[],
    startedAt: number,
    cpuSeconds: number,
): ScenarioResult {
    const endedAt = startedAt + scenario.seconds * 1_000;
    const outcomes = compareOutcomes(sent, testbed.runs);
    const limits = measureTeamPeaks(testbed.runs, new Map(scenario.teams.map(team => [team.name, team.upper_limit])));
    const shares = new Map(scenario.teams.map(team => [team.name, team.share]));
    const slots = scenario.pools.reduce((sum, pool) => sum + pool.slots * pool.targets_per_zone, 0)
        * scenario.zones.length;
    return {
        scenario: scenario.name,
        policy,
        seed: scenario.seed,
        answers: outcomes,
        limits,
        shares: measureShareDeviation(testbed.runs, shares, startedAt + shareWarmupMs, endedAt, shareIntervalMs),
        slotUsePercent: 100 * computeSlotTimeMs(testbed.runs, startedAt, endedAt) / (slots * scenario.seconds * 1_000),
        ...measureLatencies(sent, testbed.runs, startedAt),
        requestsPerCoreSecond: outcomes.confirmed / cpuSeconds,
        series: buildSeries(scenario, sent),
        faults: listViolations(outcomes, limits),
    };
}

function computeSlotTimeMs(runs: readonly TargetRun[], startMs: number, endMs: number): number {
    return runs.reduce(
        (sum, run) => sum + Math.max(0, Math.min(run.endedAt ?? endMs, endMs) - Math.max(run.startedAt, startMs)),
        0,
    );
}

function measureLatencies(
    sent: readonly SentRequest[],
    runs: readonly TargetRun[],
    startedAt: number,
): Pick<ScenarioResult, "addedMs" | "urgentStartMs"> {
    const lastRuns = new Map(runs.map(run => [run.requestId, run]));
    // Both histograms record microseconds.
    const added = buildHistogram({ highestTrackableValue: 100_000_000, numberOfSignificantValueDigits: 3 });
    const urgent = buildHistogram({ highestTrackableValue: 100_000_000, numberOfSignificantValueDigits: 3 });
    for (const { plan, response, latencyMs } of sent) {
        const run = lastRuns.get(plan.id);
        if (response.outcome !== RequestOutcome.Answer || run?.endedAt === undefined) {
            continue;
        }
        added.recordValue(Math.max(1, Math.round((latencyMs - (run.endedAt - run.startedAt)) * 1_000)));
        if (plan.isUrgent) {
            urgent.recordValue(Math.max(1, Math.round((run.startedAt - startedAt - plan.atMs) * 1_000)));
        }
    }
    const readMs = (histogram: typeof added, percentile: number) => histogram.getValueAtPercentile(percentile) / 1_000;
    return {
        addedMs: {
            p50: readMs(added, 50),
            p99: readMs(added, 99),
            p999: readMs(added, 99.9),
            max: added.maxValue / 1_000,
        },
        urgentStartMs: { p99: readMs(urgent, 99), max: urgent.maxValue / 1_000 },
    };
}

function buildSeries(scenario: Scenario, sent: readonly SentRequest[]): ScenarioResult["series"] {
    return scenario.teams.map(({ name }) => {
        const confirmed = new Array<number>(Math.ceil(scenario.seconds)).fill(0);
        for (const { plan, response, latencyMs } of sent) {
            const second = Math.floor((plan.atMs + latencyMs) / 1_000);
            if (plan.team === name && response.outcome === RequestOutcome.Answer && second < confirmed.length) {
                confirmed[second] = (confirmed[second] ?? 0) + 1;
            }
        }
        return { team: name, confirmed };
    });
}

/** Lists the guarantees that were violated; under the shares policy, the bench command fails if there are any. */
function listViolations(outcomes: ScenarioResult["answers"], limits: ScenarioResult["limits"]): string[] {
    const violations: string[] = [];
    for (const count of ["wrong", "untrueRefusals", "duplicates"] as const) {
        if (outcomes[count] > 0) {
            violations.push(`${count}: ${outcomes[count]}`);
        }
    }
    for (const { team, peak, upperLimit } of limits) {
        if (peak > upperLimit) {
            violations.push(`team ${team} had ${peak} running, limit ${upperLimit}`);
        }
    }
    return violations;
}
