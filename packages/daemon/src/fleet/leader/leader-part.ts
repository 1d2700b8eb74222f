import type { FleetState } from "@daisylock/core/fleet/fleet-state.js";
import { decodeTaskKey } from "@daisylock/core/jobs/decode-task-key.js";
import { isJobOver } from "@daisylock/core/jobs/is-job-over.js";
import { RunEnd } from "@daisylock/core/jobs/run-end.js";

import type { Clock } from "../../clock/clock.js";
import type { ChildSpec } from "../../supervision/child-spec.js";
import type { AdviceService } from "../advice/advice-service.js";
import { DecisionKind } from "../log/decision-kind.js";
import type { DecisionLog } from "../log/decision-log.js";
import type { FleetHandlers } from "../peers/fleet-handlers.js";
import type { FleetSettings } from "../settings/fleet-settings.js";
import type { TargetClient } from "../targets/target-client.js";
import type { VmService } from "../vms/vm-service.js";
import { VmState } from "../vms/vm-state.js";
import { AdviceDesk } from "./advice-desk.js";
import { ConfigurationDesk } from "./configuration-desk.js";
import { DurationBook } from "./duration-book.js";
import { JobDesk } from "./job-desk.js";
import type { Leadership } from "./leadership.js";
import { PaceController } from "./pace-controller.js";
import { PoolBalancer } from "./pool-balancer.js";
import { Scheduler } from "./scheduler.js";
import { TargetDesk } from "./target-desk.js";
import { TargetSessions } from "./target-sessions.js";
import { UpkeepDesk } from "./upkeep-desk.js";
import { UpkeepRunner } from "./upkeep-runner.js";
import { VmAuthorityGate } from "./vm-authority-gate.js";

const msPerSecond = 1_000;
/** Share of a pool's targets that may be left out as slow; where more seem so, it is the expectation that is wrong. */
const maxSlowShare = 0.34;

/** What the leader's part of a keeper needs. */
interface LeaderSurroundings {
    readonly settings: FleetSettings;
    readonly leadership: Leadership;
    readonly client: TargetClient;
    readonly vms: VmService;
    readonly advice: AdviceService;
    readonly clock: Clock;
    readonly log: DecisionLog;
}

/** All that a keeper does while it leads. */
export class LeaderPart {
    private readonly durations = new DurationBook();
    private readonly sessions: TargetSessions;
    private readonly upkeep: UpkeepRunner;
    private readonly balancer: PoolBalancer;
    private readonly scheduler: Scheduler;
    private readonly targets: TargetDesk;
    private readonly advice: AdviceDesk;

    /**
     * @param surroundings - what the part needs
     */
    constructor(private readonly surroundings: LeaderSurroundings) {
        const { settings, leadership, client, vms, advice, clock, log } = surroundings;
        const handleWork = () => this.scheduler.startRound();
        this.targets = new TargetDesk(leadership, clock, log, handleWork);
        const gate = new VmAuthorityGate({
            leadership,
            vms,
            clock,
            holder: settings.node.name,
            holderLeaseMs: settings.vms.holder_lease_ms,
        });
        this.sessions = new TargetSessions({
            leadership,
            client,
            desk: this.targets,
            clock,
            log,
            maxLeaseMs: settings.tasks.max_lease_ms,
            isEnded: ({ id, vm }, since) => {
                const view = vm === "" ? "unknown" : gate.findVm(vm, since);
                return view !== "unknown" && (view === undefined || view.state === VmState.Down || view.target !== id);
            },
            mayBeSlow: ({ pool }) => this.sessions.countSlow(pool) < this.sessions.countAll(pool) * maxSlowShare,
            estimateTask: task => this.computeTaskMs(leadership.readFleet(), task),
            findTicket: (task, target) => this.advice.findTicket(cutIndex(task), target) ?? "",
            handleBadTicket: (task, target) => this.advice.dropTicket(cutIndex(task), target),
            handleDoubt: ({ zone }) => this.sessions.checkZone(zone),
            handleWork,
            handleEnd: (task, how, durationMs) => this.noteEnd(leadership.readFleet(), task, how, durationMs),
        });
        this.balancer = new PoolBalancer({
            leadership,
            gate,
            vms,
            estimator: this.durations,
            isMaintained: vm => this.upkeep.isMaintained(vm),
            isUsable: target => this.sessions.find(target)?.isUsable() === true,
            log,
            clock,
            moveMs: settings.vms.move_s * msPerSecond,
        });
        this.upkeep = new UpkeepRunner({
            leadership,
            sessions: this.sessions,
            gate,
            vms,
            isMoving: vm => this.balancer.isMoving(vm),
            log,
            clock,
            upkeepMs: settings.vms.upkeep_s * msPerSecond,
        });
        this.advice = new AdviceDesk({ service: advice, clock, log, handleWork });
        this.scheduler = new Scheduler({
            leadership,
            advice: this.advice,
            sessions: this.sessions,
            estimator: this.durations,
            isEvacuating: target =>
                this.upkeep.isEvacuating(target)
                || this.balancer.isMoving(leadership.readFleet().targets.get(target)?.vm ?? ""),
            log,
            clock,
            keepStateMs: settings.tasks.keep_state_s * msPerSecond,
        });
    }

    /**
     * Builds the answers to the calls that only the leader answers.
     * @param members - answers keepers that want to become members, and who looks for the leader
     * @returns the answers by call
     */
    buildHandlers(members: Pick<FleetHandlers, "join" | "findLeader">): FleetHandlers {
        const { leadership, log } = this.surroundings;
        const jobs = new JobDesk(leadership, log, job => {
            if (job !== undefined) {
                this.durations.noteJob(job);
            }
            this.scheduler.startRound();
        });
        const configuration = new ConfigurationDesk(leadership, log);
        const upkeep = new UpkeepDesk(leadership, log);
        return {
            job: call => jobs.handleCall(call),
            putConfiguration: request => configuration.handlePut(request),
            readConfiguration: () => configuration.handleRead(),
            report: report => this.targets.handleReport(report),
            leave: request => this.targets.handleLeave(request),
            startUpkeep: order => upkeep.handleStart(order),
            readUpkeep: request => upkeep.handleRead(request),
            ping: () =>
                leadership.serveCall(async () => ({
                    hasConfiguration: leadership.readFleet().configuration !== undefined,
                    keepers: leadership.listVoters(),
                })),
            ...members,
        };
    }

    /**
     * Lists the children of the supervisor tree.
     * @returns the children, in starting order
     */
    listChildren(): ChildSpec[] {
        const { leadership, clock, log } = this.surroundings;
        return [
            { name: "scheduler", create: () => this.scheduler },
            { name: "upkeep-runner", create: () => this.upkeep },
            { name: "pool-balancer", create: () => this.balancer },
            { name: "pace-controller", create: () => new PaceController(leadership, this.sessions, log, clock) },
        ];
    }

    /** Lets the scheduler look at the state again. */
    startRound(): void {
        this.scheduler.startRound();
    }

    /** Steps whose tasks are slow far from their data say nothing of a target. */
    private computeTaskMs(fleet: FleetState, task: string): number | undefined {
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : fleet.jobs.get(key.job);
        const step = key === undefined ? undefined : job?.steps[key.step];
        const isComparable = step !== undefined && !step.isLongRunning && !step.isGang && !step.isSameRack
            && step.dataRack === undefined;
        return job === undefined || !isComparable || !this.durations.isLearned(job, step)
            ? undefined
            : this.durations.computeTaskMs(job, step);
    }

    private noteEnd(fleet: FleetState, task: string, how: RunEnd, durationMs: number | undefined): void {
        const key = decodeTaskKey(task);
        const job = key === undefined ? undefined : fleet.jobs.get(key.job);
        if (key === undefined || job === undefined) {
            return;
        }
        const step = job.steps[key.step];
        if (how === RunEnd.Done && step !== undefined && durationMs !== undefined) {
            this.durations.noteRun(job, step, durationMs);
        }
        if (isJobOver(job)) {
            const afterMs = job.endedAtMs - job.acceptedAtMs;
            this.surroundings.log.note(DecisionKind.JobEnded, {
                job: job.id,
                queue: job.queue,
                phase: job.phase,
                afterMs,
            });
        }
    }
}

/** The name of a task begins with the name of its step. */
function cutIndex(task: string): string {
    return task.slice(0, task.lastIndexOf("."));
}
