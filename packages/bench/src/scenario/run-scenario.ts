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

const announceMs = 1_000;
const shareIntervalMs = 10_000;
/** Start of a run that is left out of the shares, until every queue is full. */
const shareWarmupMs = 5_000;
const firstPort = 30_000;
const firstTargetPort = 31_000;

/**
 * Runs a scenario once under one policy, with real processes on this machine.
 * @param scenario - the scenario
 * @param policy - the policy
 * @param daemonFile - file of the daemon
 * @returns the figures
 */
export async function runScenario(
    scenario: Scenario,
    policy: Scenario["policies"][number],
    daemonFile: string,
): Promise<ScenarioResult> {
    const site = buildScenarioTestbed(scenario, policy, daemonFile);
    await site.start();
    try {
        const requests = planRequests(scenario, createRandom(scenario.seed));
        const processorBefore = await readCpuSeconds(site);
        const startedAt = performance.now();
        scheduleFaults(site, scenario.faults);
        const sent = await sendPlannedRequests(site, requests);
        const processorSeconds = await readCpuSeconds(site) - processorBefore;
        return buildResult(scenario, policy, site, sent, startedAt, processorSeconds);
    }
    finally {
        await site.stop();
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

async function readCpuSeconds(site: Testbed): Promise<number> {
    let sum = 0;
    for (const { name } of site.cluster.plan.processes) {
        const body = (await site.cluster.sendApiRequest("GET", "/v1/process", undefined, name))?.body;
        sum += Number(body?.["processorMicroseconds"] ?? 0) / 1_000_000;
    }
    return sum;
}

function buildResult(
    scenario: Scenario,
    policy: Scenario["policies"][number],
    site: Testbed,
    sent: readonly SentRequest[],
    startedAt: number,
    processorSeconds: number,
): ScenarioResult {
    const endedAt = startedAt + scenario.seconds * 1_000;
    const answers = compareOutcomes(sent, site.runs);
    const limits = measureTeamPeaks(site.runs, new Map(scenario.teams.map(team => [team.name, team.upper_limit])));
    const shares = new Map(scenario.teams.map(team => [team.name, team.share]));
    const slots = scenario.pools.reduce((sum, pool) => sum + pool.slots * pool.targets_per_zone, 0)
        * scenario.zones.length;
    return {
        scenario: scenario.name,
        policy,
        seed: scenario.seed,
        answers,
        limits,
        shares: measureShareDeviation(site.runs, shares, startedAt + shareWarmupMs, endedAt, shareIntervalMs),
        slotUsePercent: 100 * computeSlotTime(site.runs, startedAt, endedAt) / (slots * scenario.seconds * 1_000),
        ...measureLatencies(sent, site.runs, startedAt),
        requestsPerCoreSecond: answers.confirmed / processorSeconds,
        series: buildSeries(scenario, sent),
        faults: listViolations(answers, limits),
    };
}

function computeSlotTime(runs: readonly TargetRun[], from: number, to: number): number {
    return runs.reduce(
        (sum, run) => sum + Math.max(0, Math.min(run.endedAt ?? to, to) - Math.max(run.startedAt, from)),
        0,
    );
}

function measureLatencies(
    sent: readonly SentRequest[],
    runs: readonly TargetRun[],
    startedAt: number,
): Pick<ScenarioResult, "addedMs" | "urgentStartMs"> {
    const lastRuns = new Map(runs.map(run => [run.requestId, run]));
    // Microseconds.
    const added = buildHistogram({ highestTrackableValue: 100_000_000, numberOfSignificantValueDigits: 3 });
    const urgent = buildHistogram({ highestTrackableValue: 100_000_000, numberOfSignificantValueDigits: 3 });
    for (const { plan, response: answer, latencyMs } of sent) {
        const run = lastRuns.get(plan.id);
        if (answer.outcome !== RequestOutcome.Answer || run?.endedAt === undefined) {
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
        for (const { plan, response: answer, latencyMs } of sent) {
            const second = Math.floor((plan.atMs + latencyMs) / 1_000);
            if (plan.team === name && answer.outcome === RequestOutcome.Answer && second < confirmed.length) {
                confirmed[second] = (confirmed[second] ?? 0) + 1;
            }
        }
        return { team: name, confirmed };
    });
}

/** A promise that was broken fails the run. */
function listViolations(answers: ScenarioResult["answers"], limits: ScenarioResult["limits"]): string[] {
    const faults: string[] = [];
    for (const count of ["wrong", "untrueRefusals", "duplicates"] as const) {
        if (answers[count] > 0) {
            faults.push(`${count}: ${answers[count]}`);
        }
    }
    for (const { team, peak, upperLimit } of limits) {
        if (peak > upperLimit) {
            faults.push(`team ${team} had ${peak} running, limit ${upperLimit}`);
        }
    }
    return faults;
}
