import type { DemandStage } from "./demand-stage.js";
import type { JobArrival } from "./job-arrival.js";

/** Window from which the rate of arrivals and its growth are estimated, milliseconds. */
const rateWindowMs = 800;
/** Share of the growth that a single arrival shows which is taken for chance; with more arrivals it is less. */
const singleArrivalDoubt = 0.5;
/** Number of latest jobs whose mean demand is expected of those to come. */
const sampleSize = 40;

interface AcceptedJob {
    /** Monotonic milliseconds. */
    readonly at: number;
    readonly endsAt: number;
    readonly stages: readonly DemandStage[];
}

/** Rate of arrivals as a linear function of time. */
interface ArrivalRate {
    /** Jobs per millisecond now. */
    readonly current: number;
    /** Jobs per millisecond squared. */
    readonly growth: number;
}

/**
 * Forecasts the demand of one pool from the jobs that it has accepted, whose later steps are certain to follow, and from
 * those that arrive until then at the current rate and its growth. The demand in use follows the arrivals by the time that
 * tasks take, so that it shows the beginning of a burst later.
 */
export class ArrivalForecast {
    private accepted: readonly AcceptedJob[] = [];
    private samples: readonly (readonly DemandStage[])[] = [];
    /** When jobs arrived within the window, monotonic milliseconds. */
    private arrivalTimes: readonly number[] = [];

    /**
     * Adds arrivals.
     * @param arrivals - the jobs that have arrived since the last call
     * @param now - monotonic milliseconds
     */
    addArrivals(arrivals: readonly JobArrival[], now: number): void {
        const added = arrivals.filter(({ stages }) => stages.length > 0).map(({ ageMs, stages }) => ({
            at: now - ageMs,
            endsAt: now - ageMs + Math.max(...stages.map(({ toMs }) => toMs)),
            stages,
        }));
        this.accepted = [...this.accepted, ...added].filter(({ endsAt }) => endsAt > now);
        this.samples = [...this.samples, ...added.map(({ stages }) => stages)].slice(-sampleSize);
        this.arrivalTimes = [...this.arrivalTimes, ...added.map(({ at }) => at)].filter(at => now - at < rateWindowMs);
    }

    /**
     * Forecasts the demand if no task waits. Accepted jobs count by the part of their demand that is there now, as some end
     * before their estimates or are cancelled.
     * @param now - monotonic milliseconds
     * @param horizonMs - how far ahead, milliseconds
     * @param currentDemand - what the tasks of accepted jobs use and wait for, thousandths of a core
     * @returns thousandths of a core
     */
    computeDemand(now: number, horizonMs: number, currentDemand: number): number {
        const estimated = this.computeAcceptedDemand(now);
        const remaining = estimated === 0 ? 1 : Math.min(1, currentDemand / estimated);
        return this.computeAcceptedDemand(now + horizonMs) * remaining + this.computeFutureDemand(now, horizonMs);
    }

    private computeAcceptedDemand(at: number): number {
        return computeCpuSum(
            this.accepted.flatMap(job =>
                job.stages.filter(({ fromMs, toMs }) => job.at + fromMs <= at && at < job.at + toMs)
            ),
        );
    }

    /** Computes the demand of the jobs that arrive until the horizon; one with age `u` there arrives `u` before it. */
    private computeFutureDemand(now: number, horizonMs: number): number {
        const arrivalTimes = this.arrivalTimes.filter(time => now - time < rateWindowMs);
        if (arrivalTimes.length === 0) {
            return 0;
        }
        const { current, growth } = computeRate(arrivalTimes, now);
        const readRate = (ageMs: number): number => Math.max(0, current + growth * (horizonMs - ageMs));
        const demands = this.samples.flat().filter(({ fromMs }) => fromMs < horizonMs).map(({ fromMs, toMs, cpu }) => {
            const lastMs = Math.min(toMs, horizonMs);
            return cpu * (lastMs - fromMs) * (readRate(fromMs) + readRate(lastMs)) / 2;
        });
        return demands.reduce((sum, demand) => sum + demand, 0) / this.samples.length;
    }
}

/** Fits a linear rate to the number of arrivals within the window and the sum of their times. */
function computeRate(arrivalTimes: readonly number[], now: number): ArrivalRate {
    const count = arrivalTimes.length;
    const timeSum = arrivalTimes.reduce((sum, at) => sum + at - now, 0);
    const fittedGrowth = 12 * (timeSum + count * rateWindowMs / 2) / rateWindowMs ** 3;
    const growth = fittedGrowth * (1 - singleArrivalDoubt / count);
    return { current: Math.max(0, count / rateWindowMs + growth * rateWindowMs / 2), growth };
}

function computeCpuSum(stages: readonly DemandStage[]): number {
    return stages.reduce((sum, { cpu }) => sum + cpu, 0);
}
