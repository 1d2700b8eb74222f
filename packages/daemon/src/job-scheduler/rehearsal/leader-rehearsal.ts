import type { RaftTiming } from "@daisylock/core/raft/raft-timing.js";
import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import { JobAction } from "@daisylock/protocol/fleet/job-action.js";
import type { JobCall } from "@daisylock/protocol/fleet/job-call.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import type { WriteStream } from "node:fs";
import { Writable } from "node:stream";
import Result from "true-myth/result";

import type { Clock } from "../../clock/clock.js";
import { runGoroutine } from "../../concurrency/run-goroutine.js";
import type { HttpCall } from "../../http-client/http-call.js";
import type { Worker } from "../../supervision/worker.js";
import { LeaderComponents } from "../leader/leader-components.js";
import { Leadership } from "../leader/leadership.js";
import { LoadMeter } from "../leader/load-meter.js";
import { DecisionLog } from "../logging/decision-log.js";
import { FleetMetrics } from "../metrics/fleet-metrics.js";
import { peerPaths } from "../peers/peer-paths.js";
import { PeerRequestHandler } from "../peers/peer-request-handler.js";
import { RelayDirectory } from "../relay/relay-directory.js";
import { RelayedTargetClient } from "../relay/relayed-target-client.js";
import { TargetRequestRelay } from "../relay/target-request-relay.js";
import type { FleetSettings } from "../settings/fleet-settings.js";
import { TargetRequestSender } from "../targets/target-request-sender.js";
import { RehearsalClock } from "./rehearsal-clock.js";
import { RehearsalKeepers } from "./rehearsal-keepers.js";
import { RehearsalTargetClient } from "./rehearsal-target-client.js";
import { RehearsalVmService } from "./rehearsal-vm-service.js";

const pools = ["pool-a", "pool-b"];
const targetsPerPool = 20;
const targetCapacity = { cpu: 32_000, memory: 64_000, gpu: 0 };
const reportIntervalMs = 1_500;
/** Time by which the clock of the rehearsal advances at once, milliseconds. */
const tickMs = 5;
/** Turns of the event loop within which goroutines have handled what became due. */
const turnsPerTick = 3;
const jobIntervalMs = 20;
const tasksPerStep = 8;
const taskNeeds = { cpu: 3_000, memory: 4_000, gpu: 0 };
const specBytes = 300;
/** Time after which the caller of a job asks for its state, milliseconds. */
const pollAfterMs = 700;

/**
 * Runs the leader's components in this process on a state, a log, targets and a clock of their own, so that their code is
 * compiled before this process leads. Nothing leaves the process and none of its real state is read or changed.
 */
export class LeaderRehearsal {
    private readonly clock: RehearsalClock;
    private readonly targets: RehearsalTargetClient;
    private readonly keepers: RehearsalKeepers;
    private readonly handler: PeerRequestHandler;
    private readonly workers: readonly Worker[];
    private failure: Error | undefined;
    private nextJobAt = 0;
    private nextReportAt = 0;
    private jobCount = 0;
    private reportCount = 0;

    /**
     * @param settings - settings of this process
     * @param timing - timing of the replicated log
     * @param base - clock whose readings the rehearsal starts from
     */
    constructor(settings: FleetSettings, timing: RaftTiming, base: Clock) {
        this.clock = new RehearsalClock(base);
        const { clock } = this;
        const metrics = new FleetMetrics();
        const log = new DecisionLog("rehearsal", "info", createDiscardingOutput());
        log.addListener({
            noteDecision: (kind, fields) => metrics.noteDecision(kind, fields),
            noteDroppedLine: () => metrics.noteDroppedLine(),
        });
        const noteFailure = (error: unknown) => {
            this.failure ??= buildError(error);
        };
        this.keepers = new RehearsalKeepers(clock, timing, metrics, {
            handleApplied: () => leader.startScheduling(),
            handleFailure: noteFailure,
        });
        this.targets = new RehearsalTargetClient(clock);
        const sender = new TargetRequestSender(this.targets, () => undefined);
        const relay = new TargetRequestRelay(sender, clock);
        const relays = new RelayDirectory(() => this.keepers.leader.readView(), clock);
        const peers = {
            send: async ({ path, body }: HttpCall) =>
                Result.ok(await relay.handleRequest(path.slice(peerPaths.relay.length), body ?? Buffer.alloc(0))),
        };
        const leader = new LeaderComponents({
            settings,
            leadership: new Leadership(this.keepers.leader, 1),
            client: new RelayedTargetClient(sender, peers, relays, log, clock),
            vms: new RehearsalVmService(),
            advice: { sendRequest: async () => undefined },
            clock,
            log,
            metrics,
            load: new LoadMeter(),
        });
        const refuse = async (): Promise<LeaderReply<never>> => ({
            isLeader: false,
            leader: undefined,
            mayHaveRun: false,
        });
        this.handler = new PeerRequestHandler(
            () => undefined,
            leader.buildHandlers({ join: refuse, findLeader: refuse, depart: refuse }),
            relay,
            () => undefined,
        );
        this.workers = leader.listChildren().map(({ create }) => create());
        this.keepers.start();
        this.workers.forEach(worker =>
            runGoroutine(() => worker.run(), error => {
                if (error !== undefined) {
                    noteFailure(error);
                }
            })
        );
    }

    /**
     * Counts the starts of tasks so far.
     * @returns number of starts
     */
    countStarts(): number {
        return this.targets.countStarts();
    }

    /**
     * Goes on for a time.
     * @param ms - time, milliseconds; the event loop serves other work meanwhile
     * @throws what a component of the rehearsal threw
     */
    async runFor(ms: number): Promise<void> {
        const endsAt = performance.now() + ms;
        while (performance.now() < endsAt) {
            this.sendDue();
            this.clock.tick(tickMs);
            for (let turn = 0; turn < turnsPerTick; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
            if (this.failure !== undefined) {
                throw this.failure;
            }
        }
    }

    /** Ends the rehearsal. */
    stop(): void {
        this.workers.forEach(worker => worker.stop());
        this.keepers.stop();
    }

    private sendDue(): void {
        const now = this.clock.readMonotonic();
        if (!this.keepers.leader.isActiveLeader()) {
            return;
        }
        if (now >= this.nextReportAt) {
            this.nextReportAt = now + reportIntervalMs;
            this.reportCount += 1;
            this.sendCall("putConfiguration", buildConfiguration());
            buildReports(this.reportCount, Math.floor(now)).forEach(report => this.sendCall("report", report));
        }
        if (now >= this.nextJobAt) {
            this.nextJobAt = now + jobIntervalMs;
            this.jobCount += 1;
            const call = buildJobCall(this.jobCount);
            this.sendCall("job", call);
            this.clock.schedule(
                pollAfterMs,
                () => this.sendCall("job", { ...call, verb: JobAction.Read, job: undefined }),
            );
        }
    }

    private sendCall(name: string, request: unknown): void {
        void this.handler.handleRequest(`${peerPaths.call}${name}`, Buffer.from(JSON.stringify(request))).catch(
            (error: unknown) => {
                this.failure ??= buildError(error);
            },
        );
    }
}

function buildConfiguration() {
    const queue = { priority: 0, maxAttempts: 2, stretch: 1.6, objectiveMs: 600, timeoutMs: 3_000, isPublic: true };
    return {
        version: 1,
        queues: pools.map(pool => ({ ...queue, name: pool, host: "rehearsal.example", pathPrefix: `/${pool}/`, pool })),
        pools: pools.map(name => ({ name, isSpare: false, isGuarded: true })),
        accounts: [],
        source: "{}",
    };
}

function buildReports(sequence: number, clockMs: number): TargetReport[] {
    return Array.from({ length: pools.length * targetsPerPool }, (_, position) => ({
        record: {
            id: `rehearsal-${position}`,
            incarnation: 1,
            pool: pools[position % pools.length] ?? "",
            address: `127.0.0.1:${position + 1}`,
            zone: "z",
            vm: `vm-${position}`,
            rack: "r",
            labels: [],
            capacity: targetCapacity,
            state: ReportedTargetState.Ready,
        },
        sequence,
        clockMs,
        remainingMs: undefined,
    }));
}

function buildJobCall(number: number): JobCall {
    const pool = pools[number % pools.length] ?? "";
    const id = number.toString(16).padStart(16, "0");
    const stepCount = 1 + number % 2;
    const steps = Array.from({ length: stepCount }, (_, step) => ({
        count: tasksPerStep,
        needs: taskNeeds,
        estimateMs: 400,
        after: step === 0 ? [] : [step - 1],
        hasCheckpoints: false,
        isGang: false,
        isSameRack: false,
        requiredLabel: undefined,
        dataRack: undefined,
        maxPerTarget: 0,
        isSpeculative: false,
        isLongRunning: false,
        image: "",
        tailBoundMs: 0,
        isFiller: false,
        mayMiss: undefined,
    }));
    return {
        verb: JobAction.Submit,
        host: "rehearsal.example",
        path: `/${pool}/${id}`,
        key: "",
        job: { spec: "".padEnd(specBytes, "x"), steps, times: 0, startAtMs: 0, intervalMs: 0 },
    };
}

function buildError(error: unknown): Error {
    return error instanceof Error ? error : new Error(String(error));
}

function createDiscardingOutput(): WriteStream {
    const output = new Writable({
        write: (_chunk, _encoding, settle) => settle(),
    });
    return output as unknown as WriteStream;
}
