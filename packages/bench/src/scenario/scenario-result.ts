import type { compareOutcomes } from "./compare-outcomes.js";
import type { measureShareDeviation } from "./measure-share-deviation.js";
import type { measureTeamPeaks } from "./measure-team-peaks.js";
import type { Scenario } from "./scenario.js";

/** Figures of one run of a scenario. */
export interface ScenarioResult {
    readonly scenario: string;
    readonly policy: Scenario["policies"][number];
    readonly seed: number;
    readonly answers: ReturnType<typeof compareOutcomes>;
    readonly limits: ReturnType<typeof measureTeamPeaks>;
    readonly shares: ReturnType<typeof measureShareDeviation>;
    /** Slot time used against the slots' time over the run, percent. */
    readonly slotUsePercent: number;
    /** Time added to the target's own, milliseconds, for confirmed requests. */
    readonly addedMs: { readonly p50: number; readonly p99: number; readonly p999: number; readonly max: number };
    /** Time from asking to the start at a target of confirmed urgent requests, milliseconds. */
    readonly urgentStartMs: { readonly p99: number; readonly max: number };
    /** Confirmed requests for each second of processor time of all entries. */
    readonly requestsPerCoreSecond: number;
    /** Confirmed and used slot time by second and team, for plots. */
    readonly series: { readonly team: string; readonly confirmed: readonly number[] }[];
    readonly faults: readonly string[];
}
