import type { PoolForecast } from "../pools/pool-forecast.js";
import type { StepCandidate } from "../queueing/step-candidate.js";

/** Limits of the simulated leader. */
export interface SimulatedLeader {
    /** Number of tasks that it can start in a second, in all pools together. */
    readonly startsPerSecond: number;
    /** Time after which it learns of the end of a task, milliseconds; none by default. */
    readonly endDelayMs?: number;
    /** Time that the commit of a start, and that of an end, takes, milliseconds; none by default. */
    readonly commitMs?: number;
    /** Order in which steps start; the production order by default. */
    readonly compare?: (a: StepCandidate, b: StepCandidate) => number;
    /** Reads the forecasts of the last round, by which VMs of calm pools are closed; without, none is closed. */
    readonly readForecasts?: () => readonly PoolForecast[];
}
