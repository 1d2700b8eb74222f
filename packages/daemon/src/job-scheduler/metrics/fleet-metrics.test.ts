import { describe, expect, it } from "@jest/globals";

import { MetricName } from "../../metrics/metric-name.js";
import { DecisionKind } from "../logging/decision-kind.js";
import { FleetMetrics } from "./fleet-metrics.js";

describe("FleetMetrics", () => {
    it("counts decisions by kind", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.JobAccepted, { job: "a" });
        metrics.noteDecision(DecisionKind.JobAccepted, { job: "b" });
        expect(await metrics.describeAll()).toContain("daisylock_decisions_total{kind=\"job-accepted\"} 2");
    });

    it("records durations in histogram buckets in seconds", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.TaskEnded, { how: "done", afterMs: 300 });
        metrics.recordTime(MetricName.LogSync, 9);
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_run_seconds_bucket{le=\"0.25\",how=\"done\"} 0");
        expect(text).toContain("daisylock_run_seconds_bucket{le=\"0.5\",how=\"done\"} 1");
        expect(text).toContain("daisylock_log_sync_seconds_count 1");
    });

    it("does not count an unknown duration as zero", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.TaskPlaced, { task: "a.0.0.0", waitMs: undefined });
        expect(await metrics.describeAll()).toContain("daisylock_start_wait_seconds_count 0");
    });

    it("shows the load of each pool in cores", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.PoolLoad, { pool: "web", capacity: 64_000, used: 500, waiting: 3, late: 1 });
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_pool_capacity_cores{pool=\"web\"} 64");
        expect(text).toContain("daisylock_pool_waiting_tasks{pool=\"web\"} 3");
    });

    it("shows whether the process is the leader", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.LeadershipGained, { term: 2 });
        expect(await metrics.describeAll()).toContain("daisylock_leading 1");
        metrics.noteDecision(DecisionKind.LeadershipLost, { term: 2 });
        expect(await metrics.describeAll()).toContain("daisylock_leading 0");
    });
});
