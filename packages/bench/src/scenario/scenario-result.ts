import type { compareOutcomes } from "./compare-outcomes.js";
import type { measureShareDeviation } from "./measure-share-deviation.js";
import type { measureTeamPeaks } from "./measure-team-peaks.js";
import type { Scenario } from "./scenario.js";

/** Measurements of one run of a scenario. */
export interface ScenarioResult {
    readonly scenario: string;
    readonly policy: Scenario["policies"][number];
    readonly seed: number;
    readonly answers: ReturnType<typeof compareOutcomes>;
    readonly limits: ReturnType<typeof measureTeamPeaks>;
    readonly shares: ReturnType<typeof measureShareDeviation>;
    /** Slot time that requests used, percent of the slot time available over the run. */
    readonly slotUsePercent: number;
    /** Latency beyond the service time of the target, milliseconds, over requests that a target answered. */
    readonly addedMs: { readonly p50: number; readonly p99: number; readonly p999: number; readonly max: number };
    /** Time from the planned send to the start on a target, milliseconds, over answered urgent requests. */
    readonly urgentStartMs: { readonly p99: number; readonly max: number };
    /** Requests answered with status 200 per second of CPU time of all processes. */
    readonly requestsPerCoreSecond: number;
    /** By team: number of requests that a target answered in each second of the run, for plots. */
    readonly series: { readonly team: string; readonly confirmed: readonly number[] }[];
    /** Violated guarantees; empty when there are none. */
    readonly faults: readonly string[];
}
