import { describe, expect, it } from "@jest/globals";

import { MessageDropReason } from "../../metrics/message-drop-reason.js";
import { MetricName } from "../../metrics/metric-name.js";
import { ProposeFailureKind } from "../../request-proxy/keeper/propose-failure-kind.js";
import { DecisionKind } from "../logging/decision-kind.js";
import { FleetMetrics } from "./fleet-metrics.js";

/** Leaves out the metrics that change between two readings without an event. */
function dropProcessMetrics(text: string): string {
    return text.replace(
        /^daisylock_(cpu_seconds_total|event_loop_busy_ratio|resident_memory_bytes|heap_used_bytes) .*$/gm,
        "",
    );
}

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

    it("shows the memory and the start of the process", async () => {
        const text = await new FleetMetrics().describeAll();
        expect(Number(/^daisylock_resident_memory_bytes (\S+)$/m.exec(text)?.[1])).toBeGreaterThan(1_000_000);
        expect(Number(/^daisylock_heap_used_bytes (\S+)$/m.exec(text)?.[1])).toBeGreaterThan(1_000_000);
        const startedAtS = Number(/^daisylock_start_time_seconds (\S+)$/m.exec(text)?.[1]);
        expect(Math.abs(Date.now() / 1_000 - process.uptime() - startedAtS)).toBeLessThan(2);
    });

    it("counts faults by the work that they ended", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.WorkFailed, { work: "vm-move", subject: "vm1" });
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_work_faults_total{work=\"vm-move\"} 1");
        expect(text).toContain("daisylock_work_faults_total{work=\"target-session\"} 0");
    });

    it("does not count an unknown duration as zero", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.TaskPlaced, { task: "a.0.0.0", waitMs: undefined });
        expect(await metrics.describeAll()).toContain("daisylock_start_wait_seconds_count 0");
    });

    it("shows the load of each pool in cores", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.PoolLoad, {
            pool: "web",
            capacity: 64_000,
            used: 500,
            waiting: 3,
            uncertain: 2,
            late: 1,
        });
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_pool_capacity_cores{pool=\"web\"} 64");
        expect(text).toContain("daisylock_pool_uncertain_tasks{pool=\"web\"} 2");
        expect(text).toContain("daisylock_pool_waiting_tasks{pool=\"web\"} 3");
    });

    it("shows the usable targets of each pool, and the others by reason", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.PoolLoad, { pool: "web", usable: 5, unreachable: 2, ejected: 0 });
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_pool_usable_targets{pool=\"web\"} 5");
        expect(text).toContain("daisylock_pool_excluded_targets{pool=\"web\",reason=\"unreachable\"} 2");
        expect(text).toContain("daisylock_pool_excluded_targets{pool=\"web\",reason=\"ejected\"} 0");
    });

    it("shows the runs of each pool that are not confirmed, and the age of the oldest in seconds", async () => {
        const metrics = new FleetMetrics();
        const fields = { pool: "web", unconfirmed: 4, unsent: 3, oldestUnconfirmedMs: 12_500 };
        metrics.noteDecision(DecisionKind.PoolLoad, fields);
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_pool_unconfirmed_runs{pool=\"web\"} 4");
        expect(text).toContain("daisylock_pool_unsent_runs{pool=\"web\"} 3");
        expect(text).toContain("daisylock_pool_oldest_unconfirmed_seconds{pool=\"web\"} 12.5");
    });

    it("counts sent entries and bytes of the replicated log, and its commits", async () => {
        const metrics = new FleetMetrics();
        metrics.addCount(MetricName.EntriesSent, {}, 7);
        metrics.addCount(MetricName.EntriesSent, {}, 0);
        metrics.addCount(MetricName.BytesSent, {}, 900);
        metrics.addCount(MetricName.LogCommits);
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_log_entries_sent_total 7");
        expect(text).toContain("daisylock_log_bytes_sent_total 900");
        expect(text).toContain("daisylock_log_commits_total 1");
    });

    it("counts dropped messages and refused commands by reason, from 0", async () => {
        const metrics = new FleetMetrics();
        metrics.addCount(MetricName.MessagesDropped, { reason: MessageDropReason.InFlight }, 3);
        metrics.addCount(MetricName.CommandsRefused, { reason: ProposeFailureKind.Busy });
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_log_messages_dropped_total{reason=\"in-flight\"} 3");
        expect(text).toContain("daisylock_log_messages_dropped_total{reason=\"mailbox\"} 0");
        expect(text).toContain("daisylock_log_commands_refused_total{reason=\"busy\"} 1");
        expect(text).toContain("daisylock_log_commands_refused_total{reason=\"unknown\"} 0");
    });

    it("shows how late the keeper's timer fires and how often its lease lapses", async () => {
        const metrics = new FleetMetrics();
        metrics.recordTime(MetricName.TickDelay, 300);
        metrics.addCount(MetricName.LeaseLapses);
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_tick_delay_seconds_bucket{le=\"0.25\"} 0");
        expect(text).toContain("daisylock_tick_delay_seconds_bucket{le=\"0.5\"} 1");
        expect(text).toContain("daisylock_lease_lapses_total 1");
    });

    it("ignores counters of other components", async () => {
        const metrics = new FleetMetrics();
        const before = dropProcessMetrics(await metrics.describeAll());
        metrics.addCount(MetricName.RequestsRefused, { reason: "queue-full" });
        expect(dropProcessMetrics(await metrics.describeAll())).toBe(before);
    });

    it("counts placed tasks by whether their job could still be on time", async () => {
        const metrics = new FleetMetrics();
        [true, false, false].forEach(late => metrics.noteDecision(DecisionKind.TaskPlaced, { task: "a.0.0.0", late }));
        const text = await metrics.describeAll();
        expect(text).toContain("daisylock_placed_tasks_total{urgency=\"late\"} 1");
        expect(text).toContain("daisylock_placed_tasks_total{urgency=\"on-time\"} 2");
    });

    it("shows the processor time of the process and the requests to and from others", async () => {
        const metrics = new FleetMetrics();
        metrics.addCount(MetricName.PeerRequests, { direction: "sent", kind: "start" });
        const text = await metrics.describeAll();
        expect(Number(/^daisylock_cpu_seconds_total (\S+)$/m.exec(text)?.[1])).toBeGreaterThan(0);
        expect(text).toContain("daisylock_requests_total{direction=\"sent\",kind=\"start\"} 1");
    });

    it("shows whether the process is the leader", async () => {
        const metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.LeadershipGained, { term: 2 });
        expect(await metrics.describeAll()).toContain("daisylock_leading 1");
        metrics.noteDecision(DecisionKind.LeadershipLost, { term: 2 });
        expect(await metrics.describeAll()).toContain("daisylock_leading 0");
    });
});
