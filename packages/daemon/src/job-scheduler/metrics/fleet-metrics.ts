import { RunOutcome } from "@daisylock/core/jobs/run-outcome.js";
import { TargetExclusion } from "@daisylock/core/queueing/target-exclusion.js";
import { performance } from "node:perf_hooks";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

import { WorkKind } from "../../containment/work-kind.js";
import { MessageDropReason } from "../../metrics/message-drop-reason.js";
import { MetricName } from "../../metrics/metric-name.js";
import { ProposeFailureKind } from "../../request-proxy/keeper/propose-failure-kind.js";
import { DecisionKind } from "../logging/decision-kind.js";
import { FleetMetricName } from "./fleet-metric-name.js";

const msPerSecond = 1_000;
const microsecondsPerSecond = 1_000_000;
const millicoresPerCore = 1_000;
/** Between the label values in the key of a count. */
const labelSeparator = " ";
/** Upper bounds of the histogram buckets, seconds: from the delay of one message to the longest objective of a job. */
const histogramBucketsS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16];

type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Counters, gauges and latency histograms of one process in the Prometheus text format. They are derived from the
 * decisions that are recorded, including those whose log lines are dropped. Labels are decision kinds, run outcomes,
 * job phases, pools and reasons from enums, which bounds the number of time series.
 */
export class FleetMetrics {
    private readonly registry = new Registry();
    private readonly decisionCounts = this.createCounts(FleetMetricName.Decisions, "Decisions by kind", ["kind"]);
    private readonly dropped = this.createCounter(FleetMetricName.DroppedLines, "Log lines left out", []);
    private readonly logSync = this.createHistogram(FleetMetricName.LogSync, "Writes of the log to disk", []);
    private readonly tickDelay = this.createHistogram(FleetMetricName.TickDelay, "Lateness of the keeper's timer", []);
    private readonly logCounters = this.createLogCounters();
    private readonly startWait = this.createHistogram(FleetMetricName.StartWait, "From acceptance to placement", []);
    private readonly startRequest = this.createHistogram(
        FleetMetricName.StartOrder,
        "From placement to the target's word",
        [],
    );
    private readonly runTime = this.createHistogram(FleetMetricName.RunTime, "From the order to the end of a run", [
        "how",
    ]);
    private readonly workFaults = this.createCounter(
        FleetMetricName.WorkFaults,
        "Faults that ended work for one target, call, VM or peer",
        ["work"],
    );
    private readonly targetCrashes = this.createCounter(
        FleetMetricName.TargetCrashes,
        "Targets that ended without an announcement",
        [],
    );
    private readonly crashedRuns = this.createCounter(
        FleetMetricName.CrashedRuns,
        "Runs on targets that crashed, by how far they had come",
        ["progress"],
    );
    private readonly jobTime = this.createHistogram(FleetMetricName.JobTime, "From acceptance to the end", ["phase"]);
    private readonly capacity = this.createGauge(FleetMetricName.PoolCapacity, "Cores of the pool's targets", ["pool"]);
    private readonly used = this.createGauge(FleetMetricName.PoolUsed, "Cores that may be in use", ["pool"]);
    private readonly waiting = this.createGauge(FleetMetricName.PoolWaiting, "Tasks that wait", ["pool"]);
    private readonly late = this.createGauge(FleetMetricName.PoolLate, "Tasks that wait and can't be on time", [
        "pool",
    ]);
    private readonly uncertain = this.createGauge(
        FleetMetricName.PoolUncertain,
        "Tasks that wait with too little slack for an estimation error while late tasks wait too",
        ["pool"],
    );
    private readonly suspects = this.createGauge(
        FleetMetricName.PoolSuspects,
        "Tasks that wait to run apart from others, as targets crashed under them",
        ["pool"],
    );
    private readonly usableTargets = this.createGauge(
        FleetMetricName.PoolUsableTargets,
        "Targets on which tasks may be started",
        ["pool"],
    );
    private readonly excludedTargets = this.createGauge(
        FleetMetricName.PoolExcludedTargets,
        "Targets on which no task is started, by reason",
        ["pool", "reason"],
    );
    private readonly unconfirmedRuns = this.createGauge(
        FleetMetricName.PoolUnconfirmedRuns,
        "Recorded runs whose start the target has not confirmed",
        ["pool"],
    );
    private readonly unsentRuns = this.createGauge(
        FleetMetricName.PoolUnsentRuns,
        "Unconfirmed runs without a request in flight",
        ["pool"],
    );
    private readonly oldestUnconfirmed = this.createGauge(
        FleetMetricName.PoolOldestUnconfirmed,
        "Age of the oldest unconfirmed run",
        ["pool"],
    );
    private readonly roundTime = this.createHistogram(
        FleetMetricName.RoundTime,
        "Scheduling rounds without the wait for their commits",
        [],
    );
    private readonly placedCounts = this.createCounts(
        FleetMetricName.PlacedTasks,
        "Tasks placed, by whether their job could still be on time",
        ["urgency"],
    );
    private readonly peerRequestCounts = this.createCounts(
        FleetMetricName.PeerRequests,
        "Requests between this process and others",
        ["direction", "kind"],
    );
    private readonly leading = this.createGauge(FleetMetricName.Leading, "1 while this process leads", []);
    private readonly term = this.createGauge(FleetMetricName.Term, "Term of the replicated log", []);

    constructor() {
        Object.values(WorkKind).forEach(work => this.workFaults.inc({ work }, 0));
        this.addProcessMetrics();
    }

    /**
     * Updates the metrics that a decision affects.
     * @param kind - what was decided
     * @param fields - the fields of its log line
     */
    noteDecision(kind: DecisionKind, fields: Fields): void {
        addTo(this.decisionCounts, kind);
        switch (kind) {
            case DecisionKind.TaskPlaced:
                recordDuration(this.startWait, fields["waitMs"]);
                addTo(this.placedCounts, fields["late"] === true ? "late" : "on-time");
                break;
            case DecisionKind.TaskStarted:
                recordDuration(this.startRequest, fields["tookMs"]);
                break;
            case DecisionKind.TaskEnded:
                recordDuration(this.runTime, fields["afterMs"], { how: String(fields["how"]) });
                if (fields["how"] === RunOutcome.TargetCrashed) {
                    this.crashedRuns.inc({ progress: String(fields["progress"]) });
                }
                break;
            case DecisionKind.TargetRecorded:
                this.targetCrashes.inc(Number(fields["crashes"] ?? 0));
                break;
            case DecisionKind.TargetGone:
                if (fields["crashed"] === true) {
                    this.targetCrashes.inc();
                }
                break;
            case DecisionKind.WorkFailed:
                this.workFaults.inc({ work: String(fields["work"]) });
                break;
            case DecisionKind.JobEnded:
                recordDuration(this.jobTime, fields["afterMs"], { phase: String(fields["phase"]) });
                break;
            case DecisionKind.PoolLoad:
                this.setPoolLoad(fields);
                break;
            case DecisionKind.LeadershipGained:
                this.leading.set(1);
                break;
            case DecisionKind.LeadershipLost:
                this.leading.set(0);
                break;
            default:
                break;
        }
    }

    /** Counts a line that was dropped from the log. */
    noteDroppedLine(): void {
        this.dropped.inc();
    }

    /**
     * Records a duration measured by the replicated log.
     * @param name - the metric
     * @param milliseconds - the duration, milliseconds
     */
    recordTime(name: MetricName, milliseconds: number): void {
        if (name === MetricName.LogSync) {
            this.logSync.observe(milliseconds / msPerSecond);
        }
        if (name === MetricName.RoundTime) {
            this.roundTime.observe(milliseconds / msPerSecond);
        }
        if (name === MetricName.TickDelay) {
            this.tickDelay.observe(milliseconds / msPerSecond);
        }
    }

    /**
     * Increments a counter of the replicated log; counters of other components are ignored.
     * @param name - the metric
     * @param tags - labels of the counter
     * @param count - the increment
     */
    addCount(name: MetricName, tags: Readonly<Record<string, string>> = {}, count = 1): void {
        if (name === MetricName.PeerRequests) {
            addTo(this.peerRequestCounts, `${tags["direction"]}${labelSeparator}${tags["kind"]}`, count);
            return;
        }
        this.logCounters.get(name)?.inc(tags, count);
    }

    /**
     * Sets a gauge from a value that the replicated log reports.
     * @param name - the metric
     * @param value - its current value
     */
    setGauge(name: MetricName, value: number): void {
        if (name === MetricName.LogTerm) {
            this.term.set(value);
        }
    }

    /**
     * Formats all metrics.
     * @returns the metrics in the Prometheus text exposition format
     */
    describeAll(): Promise<string> {
        return this.registry.metrics();
    }

    private setPoolLoad(fields: Fields): void {
        const labels = { pool: String(fields["pool"]) };
        this.capacity.set(labels, Number(fields["capacity"]) / millicoresPerCore);
        this.used.set(labels, Number(fields["used"]) / millicoresPerCore);
        this.waiting.set(labels, Number(fields["waiting"]));
        this.late.set(labels, Number(fields["late"]));
        this.uncertain.set(labels, Number(fields["uncertain"]));
        this.suspects.set(labels, Number(fields["suspects"]));
        this.usableTargets.set(labels, Number(fields["usable"]));
        for (const reason of Object.values(TargetExclusion)) {
            this.excludedTargets.set({ ...labels, reason }, Number(fields[reason]));
        }
        this.unconfirmedRuns.set(labels, Number(fields["unconfirmed"]));
        this.unsentRuns.set(labels, Number(fields["unsent"]));
        this.oldestUnconfirmed.set(labels, Number(fields["oldestUnconfirmedMs"]) / msPerSecond);
    }

    /** Adds metrics of the process itself, which are read when they are asked for. */
    private addProcessMetrics(): void {
        const registers = [this.registry];
        new Counter({
            name: FleetMetricName.CpuTime,
            help: "Processor time of the process",
            registers,
            collect() {
                const { user, system } = process.cpuUsage();
                this.reset();
                this.inc((user + system) / microsecondsPerSecond);
            },
        });
        new Gauge({
            name: FleetMetricName.ResidentMemory,
            help: "Resident memory of the process",
            registers,
            collect() {
                this.set(process.memoryUsage.rss());
            },
        });
        new Gauge({
            name: FleetMetricName.HeapUsed,
            help: "Heap in use",
            registers,
            collect() {
                this.set(process.memoryUsage().heapUsed);
            },
        });
        new Gauge({ name: FleetMetricName.StartTime, help: "Start of the process, seconds since 1970", registers })
            .set(Math.round(performance.timeOrigin / msPerSecond));
        let utilization = performance.eventLoopUtilization();
        new Gauge({
            name: FleetMetricName.LoopBusy,
            help: "Share of time in which the event loop was busy",
            registers,
            collect() {
                this.set(performance.eventLoopUtilization(utilization).utilization);
                utilization = performance.eventLoopUtilization();
            },
        });
    }

    private createLogCounters(): ReadonlyMap<MetricName, Counter> {
        const dropped = this.createCounter(
            FleetMetricName.MessagesDropped,
            "Messages of the replicated log that were dropped",
            ["reason"],
        );
        const refused = this.createCounter(
            FleetMetricName.CommandsRefused,
            "Commands that were not confirmed as committed",
            ["reason"],
        );
        Object.values(MessageDropReason).forEach(reason => dropped.inc({ reason }, 0));
        Object.values(ProposeFailureKind).forEach(reason => refused.inc({ reason }, 0));
        return new Map([
            [MetricName.LogCommits, this.createCounter(FleetMetricName.LogCommits, "Commands applied", [])],
            [
                MetricName.EntriesSent,
                this.createCounter(FleetMetricName.EntriesSent, "Log entries sent to other keepers", []),
            ],
            [
                MetricName.BytesSent,
                this.createCounter(FleetMetricName.BytesSent, "Bytes of log messages sent to other keepers", []),
            ],
            [MetricName.MessagesDropped, dropped],
            [MetricName.CommandsRefused, refused],
            [
                MetricName.LeaseLapses,
                this.createCounter(FleetMetricName.LeaseLapses, "Leader leases that expired within the term", []),
            ],
        ]);
    }

    private createCounter(name: FleetMetricName, help: string, labelNames: string[]): Counter {
        return new Counter({ name, help, labelNames, registers: [this.registry] });
    }

    /**
     * Creates a counter whose labels are handed over when the metrics are asked for: a labelled increment for each
     * decision or request costs the leader several times as much.
     */
    private createCounts(name: FleetMetricName, help: string, labelNames: readonly string[]): Map<string, number> {
        const counts = new Map<string, number>();
        new Counter({
            name,
            help,
            labelNames: [...labelNames],
            registers: [this.registry],
            collect() {
                this.reset();
                for (const [key, count] of counts) {
                    const values = key.split(labelSeparator);
                    this.inc(Object.fromEntries(labelNames.map((label, index) => [label, values[index] ?? ""])), count);
                }
            },
        });
        return counts;
    }

    private createGauge(name: FleetMetricName, help: string, labelNames: string[]): Gauge {
        return new Gauge({ name, help, labelNames, registers: [this.registry] });
    }

    private createHistogram(name: FleetMetricName, help: string, labelNames: string[]): Histogram {
        return new Histogram({ name, help, labelNames, buckets: histogramBucketsS, registers: [this.registry] });
    }
}

/** Records a duration; `undefined` is skipped, as for something that started under an earlier leader. */
function recordDuration(histogram: Histogram, milliseconds: Fields[string], labels: Record<string, string> = {}): void {
    if (typeof milliseconds === "number") {
        histogram.observe(labels, milliseconds / msPerSecond);
    }
}

function addTo(counts: Map<string, number>, key: string, count = 1): void {
    counts.set(key, (counts.get(key) ?? 0) + count);
}
