import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { countJobBytes } from "@daisylock/core/fleet/count-job-bytes.js";
import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { applyCancelJob } from "@daisylock/core/jobs/apply-cancel-job.js";
import { applyDropJobs } from "@daisylock/core/jobs/apply-drop-jobs.js";
import { applySubmitJob } from "@daisylock/core/jobs/apply-submit-job.js";
import { computeJobBytes } from "@daisylock/core/jobs/compute-job-bytes.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";
import { describe, expect, it } from "@jest/globals";

import { ManualClock } from "../testing/manual-clock.js";
import { JobStateBudget } from "./job-state-budget.js";

const limitBytes = 64_000_000;
const capacity = { cpu: 4_000, memory: 1_000, gpu: 0 };

class Fixture {
    readonly clock = new ManualClock();
    readonly budget = new JobStateBudget(limitBytes, this.clock);
    private readonly state = buildTestFleet(1, capacity);
    private count = 0;

    readFleet(): FleetState {
        return this.state.fleet;
    }

    /** Submits a job and returns whether it was accepted. */
    addJob(account: string, taskCount: number): boolean {
        const steps = [buildTestStep({ count: taskCount }), buildTestStep({ count: 1, after: [0] })];
        const request = { spec: "spec", steps, times: 0, startAtMs: 0, intervalMs: 0 };
        const bytes = computeJobBytes({ ...request, occurrences: new Map() });
        if (!this.budget.isWithinLimit(this.readFleet(), account, bytes)) {
            return false;
        }
        const id = `j${this.count++}`;
        const atMs = this.clock.readWall();
        applySubmitJob(this.state, { kind: CommandKind.SubmitJob, id, queue: "q-web", account, request, atMs });
        this.budget.noteAccepted(this.readFleet(), bytes);
        return true;
    }

    /** Submits jobs until one is refused and returns how many were accepted. */
    addJobsUntilRefused(account: string, taskCount: number): number {
        let accepted = 0;
        while (this.addJob(account, taskCount)) {
            accepted += 1;
        }
        return accepted;
    }

    /** Ends the oldest jobs. */
    stopJobs(count: number): void {
        const ids = [...this.readFleet().activeJobs].slice(0, count);
        const atMs = this.clock.readWall();
        ids.forEach(id => applyCancelJob(this.state, { kind: CommandKind.CancelJob, id, atMs }));
    }

    dropEndedJobs(keepStateMs: number): void {
        const endedBeforeMs = this.clock.readWall() - keepStateMs;
        applyDropJobs(this.state, { kind: CommandKind.DropJobs, endedBeforeMs });
    }
}

describe("the memory of accepted jobs", () => {
    it("stays below the limit, whatever the size of the jobs", () => {
        for (const taskCount of [1, 13, 20_000]) {
            const fixture = new Fixture();
            ["a", "b", "c", "d"].forEach(account => fixture.addJobsUntilRefused(account, taskCount));
            expect(countJobBytes(fixture.readFleet())).toBeLessThan(limitBytes);
        }
    });

    // Guards against one account that fills the memory and keeps all others from submitting jobs.
    it("leaves room for other accounts when one takes all that it may", () => {
        const fixture = new Fixture();
        expect(fixture.addJobsUntilRefused("flood", 20_000)).toBeGreaterThan(0);
        const accepted = Array.from({ length: 2_000 }, () => fixture.addJob("team", 13));
        expect(accepted).not.toContain(false);
    });

    it("holds a burst of five times the jobs of a deployment with 380 targets", async () => {
        const fixture = new Fixture();
        const jobsPerSecond = 115;
        const keepStateMs = 120_000;
        // Jobs last two seconds. Half of the load is on public queues, which count as one account.
        for (let second = 0; second < 150; second++) {
            const count = jobsPerSecond * (second >= 130 && second < 140 ? 5 : 1);
            const accounts = Array.from({ length: count }, (_, index) => index % 2 === 0 ? "" : `team${index % 29}`);
            expect(accounts.map(account => fixture.addJob(account, 13))).not.toContain(false);
            fixture.stopJobs(Math.max(0, fixture.readFleet().activeJobs.size - 2 * count));
            fixture.dropEndedJobs(keepStateMs);
            await fixture.clock.runFor(1_000);
        }
    });

    it("counts jobs that are being committed", async () => {
        const fixture = new Fixture();
        const bytes = 25_000_000;
        await fixture.budget.countWhile("a", bytes, async () => {
            expect(fixture.budget.isWithinLimit(fixture.readFleet(), "a", bytes)).toBe(false);
            expect(fixture.budget.isWithinLimit(fixture.readFleet(), "b", bytes)).toBe(true);
        });
        expect(fixture.budget.isWithinLimit(fixture.readFleet(), "a", bytes)).toBe(true);
    });

    it("bounds the occurrences that begin, at a higher limit than that for new jobs", () => {
        const fixture = new Fixture();
        ["a", "b", "c", "d"].forEach(account => fixture.addJobsUntilRefused(account, 20_000));
        expect(fixture.budget.isFull(fixture.readFleet())).toBe(false);
        fixture.readFleet().accountBytes.set("e", limitBytes);
        expect(fixture.budget.isFull(fixture.readFleet())).toBe(true);
    });
});

describe("the delay after which a refused job may be submitted again", () => {
    it("follows the rate at which memory was released", async () => {
        const fixture = new Fixture();
        fixture.addJobsUntilRefused("a", 20_000);
        const bytes = 5_000_000;
        expect(fixture.budget.computeRetryS(fixture.readFleet(), "a", bytes, 120)).toBe(120);
        await fixture.clock.runFor(10_000);
        fixture.stopJobs(1);
        // 5 MB were released in 10 s; the account needs at most 5 MB more, and each megabyte counts twice.
        const retryS = fixture.budget.computeRetryS(fixture.readFleet(), "a", bytes, 120);
        expect(retryS).toBeGreaterThanOrEqual(1);
        expect(retryS).toBeLessThanOrEqual(12);
    });
});
