import { countJobBytes } from "@daisylock/core/fleet/count-job-bytes.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";

import type { Clock } from "../../clock/clock.js";

const msPerSecond = 1_000;
/** Shortest time over which the rate is measured at which memory is released, milliseconds. */
const rateIntervalMs = 5_000;
/** Share of the limit above which jobs under way begin no further occurrences; above 1, so that refusals come first. */
const occurrenceLimitShare = 1.25;

/** Reading of the memory of jobs. */
interface Sample {
    /** Monotonic milliseconds. */
    readonly at: number;
    readonly totalBytes: number;
    /** Memory of the jobs accepted so far. */
    readonly acceptedBytes: number;
}

/**
 * Limits the memory of accepted jobs, which every keeper holds. One client account may take at most as much as it leaves
 * free, so that no account can take all of it (dynamic thresholds, Choudhury and Hahne, IEEE/ACM Transactions on
 * Networking 6, 1998).
 */
export class JobStateBudget {
    /** Memory of jobs that are being committed, bytes, by client account. */
    private readonly reservedBytes = new Map<string, number>();
    private acceptedBytes = 0;
    private samples: readonly Sample[] = [];

    /**
     * @param limitBytes - memory of all jobs, by the estimate of the fleet state
     * @param clock - clock for the rate of release
     */
    constructor(private readonly limitBytes: number, private readonly clock: Clock) {}

    /**
     * Tells whether a job may be accepted.
     * @param fleet - the fleet state
     * @param account - client account of the job
     * @param bytes - estimated memory of the job
     * @returns false when the account would take more than it leaves free
     */
    isWithinLimit(fleet: FleetState, account: string, bytes: number): boolean {
        return this.computeExcess(fleet, account, bytes) <= 0;
    }

    /**
     * Counts a job while it is being committed.
     * @param account - client account of the job
     * @param bytes - estimated memory of the job
     * @param commit - commits the job
     * @returns the result of the commit
     */
    async countWhile<Value>(account: string, bytes: number, commit: () => Promise<Value>): Promise<Value> {
        this.addReserved(account, bytes);
        try {
            return await commit();
        }
        finally {
            this.addReserved(account, -bytes);
        }
    }

    /**
     * Takes note of an accepted job.
     * @param fleet - the fleet state
     * @param bytes - estimated memory of the job
     */
    noteAccepted(fleet: FleetState, bytes: number): void {
        this.acceptedBytes += bytes;
        this.updateSamples(fleet);
    }

    /**
     * Computes when a job that is refused may be submitted again, from the rate at which memory was released lately.
     * @param fleet - the fleet state
     * @param account - client account of the job
     * @param bytes - estimated memory of the job
     * @param longestS - longest delay, for when next to nothing is released
     * @returns the delay in whole seconds, at least 1
     */
    computeRetryS(fleet: FleetState, account: string, bytes: number, longestS: number): number {
        const [first] = this.updateSamples(fleet);
        const now = this.clock.readMonotonic();
        const total = countJobBytes(fleet);
        const releasedBytes = first === undefined
            ? 0
            : Math.max(0, first.totalBytes + this.acceptedBytes - first.acceptedBytes - total);
        const bytesPerMs = releasedBytes / Math.max(1, now - (first?.at ?? now));
        const delayS = Math.ceil(this.computeExcess(fleet, account, bytes) / bytesPerMs / msPerSecond);
        return Math.max(1, Math.min(longestS, Number.isFinite(delayS) ? delayS : longestS));
    }

    /**
     * Tells whether jobs under way may not begin further occurrences.
     * @param fleet - the fleet state
     * @returns true when jobs take more memory than the limit for new ones and the margin for those under way
     */
    isFull(fleet: FleetState): boolean {
        return countJobBytes(fleet) > this.limitBytes * occurrenceLimitShare;
    }

    /** Computes how much memory has to be released before the job fits; not positive for one that fits. */
    private computeExcess(fleet: FleetState, account: string, bytes: number): number {
        const reserved = [...this.reservedBytes.values()].reduce((sum, other) => sum + other, 0);
        const accountBytes = (fleet.accountBytes.get(account) ?? 0) + (this.reservedBytes.get(account) ?? 0);
        return accountBytes + bytes + countJobBytes(fleet) + reserved - this.limitBytes;
    }

    private addReserved(account: string, bytes: number): void {
        const reserved = (this.reservedBytes.get(account) ?? 0) + bytes;
        if (reserved > 0) {
            this.reservedBytes.set(account, reserved);
        }
        else {
            this.reservedBytes.delete(account);
        }
    }

    /** Keeps the last two samples, so that the older one is at least the measuring interval old once there are two. */
    private updateSamples(fleet: FleetState): readonly Sample[] {
        const at = this.clock.readMonotonic();
        const newest = this.samples.at(-1);
        if (newest === undefined || at - newest.at >= rateIntervalMs) {
            const sample = { at, totalBytes: countJobBytes(fleet), acceptedBytes: this.acceptedBytes };
            this.samples = [...this.samples.slice(-1), sample];
        }
        return this.samples;
    }
}
