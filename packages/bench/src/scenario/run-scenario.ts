import { Outcome } from "@daisylock/protocol/http/outcome.js";
import { build as buildHistogram } from "hdr-histogram-js";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { createRandom } from "@daisylock/core/testing/create-random.js";
import { Site } from "../site/site.js";
import type { TargetRun } from "../targets/target-run.js";
import { checkAnswers } from "./check-answers.js";
import { measureLimits } from "./measure-limits.js";
import { measureShares } from "./measure-shares.js";
import { planRequests } from "./plan-requests.js";
import type { ScenarioResult } from "./scenario-result.js";
import type { Scenario } from "./scenario.js";
import { scheduleFaults } from "./schedule-faults.js";
import { sendPlanned } from "./send-planned.js";
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
    const site = buildSite(scenario, policy, daemonFile);
    await site.start();
    try {
        const requests = planRequests(scenario, createRandom(scenario.seed));
        const processorBefore = await readProcessorSeconds(site);
        const startedAt = performance.now();
        scheduleFaults(site, scenario.faults);
        const sent = await sendPlanned(site, requests);
        const processorSeconds = await readProcessorSeconds(site) - processorBefore;
        return buildResult(scenario, policy, site, sent, startedAt, processorSeconds);
    }
    finally {
        await site.stop();
    }
}

function buildSite(scenario: Scenario, policy: Scenario["policies"][number], daemonFile: string): Site {
    return new Site({
        fleet: {
            zones: scenario.zones,
            entriesPerZone: scenario.entries_per_zone,
            keepers: scenario.keepers,
            firstPort,
            folder: join(tmpdir(), "daisylock-scenario"),
            daemonFile,
            hasLinks: scenario.faults.length > 0,
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

async function readProcessorSeconds(site: Site): Promise<number> {
    let sum = 0;
    for (const { name } of site.fleet.plan.processes) {
        const body = (await site.fleet.sendOperate("GET", "/v1/process", undefined, name))?.body;
        sum += Number(body?.["processorMicroseconds"] ?? 0) / 1_000_000;
    }
    return sum;
}

function buildResult(
    scenario: Scenario,
    policy: Scenario["policies"][number],
    site: Site,
    sent: readonly SentRequest[],
    startedAt: number,
    processorSeconds: number,
): ScenarioResult {
    const endedAt = startedAt + scenario.seconds * 1_000;
    const answers = checkAnswers(sent, site.runs);
    const limits = measureLimits(site.runs, new Map(scenario.teams.map(team => [team.name, team.upper_limit])));
    const shares = new Map(scenario.teams.map(team => [team.name, team.share]));
    const slots = scenario.pools.reduce((sum, pool) => sum + pool.slots * pool.targets_per_zone, 0)
        * scenario.zones.length;
    return {
        scenario: scenario.name,
        policy,
        seed: scenario.seed,
        answers,
        limits,
        shares: measureShares(site.runs, shares, startedAt + shareWarmupMs, endedAt, shareIntervalMs),
        slotUsePercent: 100 * computeSlotTime(site.runs, startedAt, endedAt) / (slots * scenario.seconds * 1_000),
        ...measureTimes(sent, site.runs, startedAt),
        requestsPerCoreSecond: answers.confirmed / processorSeconds,
        series: buildSeries(scenario, sent),
        faults: listFaults(answers, limits),
    };
}

function computeSlotTime(runs: readonly TargetRun[], from: number, to: number): number {
    return runs.reduce(
        (sum, run) => sum + Math.max(0, Math.min(run.endedAt ?? to, to) - Math.max(run.startedAt, from)),
        0,
    );
}

function measureTimes(
    sent: readonly SentRequest[],
    runs: readonly TargetRun[],
    startedAt: number,
): Pick<ScenarioResult, "addedMs" | "urgentStartMs"> {
    const lastRuns = new Map(runs.map(run => [run.requestId, run]));
    // Microseconds.
    const added = buildHistogram({ highestTrackableValue: 100_000_000, numberOfSignificantValueDigits: 3 });
    const urgent = buildHistogram({ highestTrackableValue: 100_000_000, numberOfSignificantValueDigits: 3 });
    for (const { plan, answer, latencyMs } of sent) {
        const run = lastRuns.get(plan.id);
        if (answer.outcome !== Outcome.Answer || run?.endedAt === undefined) {
            continue;
        }
        added.recordValue(Math.max(1, Math.round((latencyMs - (run.endedAt - run.startedAt)) * 1_000)));
        if (plan.isUrgent) {
            urgent.recordValue(Math.max(1, Math.round((run.startedAt - startedAt - plan.at) * 1_000)));
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
        for (const { plan, answer, latencyMs } of sent) {
            const second = Math.floor((plan.at + latencyMs) / 1_000);
            if (plan.team === name && answer.outcome === Outcome.Answer && second < confirmed.length) {
                confirmed[second] = (confirmed[second] ?? 0) + 1;
            }
        }
        return { team: name, confirmed };
    });
}

/** A promise that was broken fails the run. */
function listFaults(answers: ScenarioResult["answers"], limits: ScenarioResult["limits"]): string[] {
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
