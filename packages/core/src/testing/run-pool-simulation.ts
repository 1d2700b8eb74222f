import { CommandKind } from "../control/command-kind.js";
import type { ControlState } from "../control/control-state.js";
import { createControlState } from "../control/create-control-state.js";
import { applyRecordEnds } from "../jobs/apply-record-ends.js";
import { applyRecordStarts } from "../jobs/apply-record-starts.js";
import { applySubmitJob } from "../jobs/apply-submit-job.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import { RunOutcome } from "../jobs/run-outcome.js";
import { buildPlacementTargets } from "../placement/build-placement-targets.js";
import { planStarts } from "../placement/plan-starts.js";
import { applyRecordMove } from "../pools/apply-record-move.js";
import { ArrivalTracker } from "../pools/arrival-tracker.js";
import { buildRoomTaker } from "../pools/build-room-taker.js";
import { collectBusyVms } from "../pools/collect-busy-vms.js";
import type { PoolStatus } from "../pools/pool-status.js";
import { VmConsolidation } from "../pools/vm-consolidation.js";
import type { VmMove } from "../pools/vm-move.js";
import { collectCandidates } from "../queueing/collect-candidates.js";
import { collectLateDemands } from "../queueing/collect-late-demands.js";
import { collectPoolLoads } from "../queueing/collect-pool-loads.js";
import { zeroResources } from "../resources/zero-resources.js";
import { ReportedTargetState } from "../targets/reported-target-state.js";
import { buildTestStep } from "./build-test-step.js";
import type { PlanRound } from "./plan-round.js";
import type { SimulatedJob } from "./simulated-job.js";
import type { SimulatedLeader } from "./simulated-leader.js";
import type { SimulatedOutage } from "./simulated-outage.js";
import type { SimulatedPool } from "./simulated-pool.js";
import type { SimulationResult } from "./simulation-result.js";

const stepMs = 20;
/** Interval between two plans of moves, milliseconds. */
const planMs = 100;
/** Time from the start of a move until the VM arrives, milliseconds. */
const moveMs = 1_500;
/** Time from the arrival of a VM until its target has announced itself, milliseconds. */
const announceMs = 120;
/** CPU of a VM, thousandths of a core. */
const defaultVmCpu = 32_000;
/** Time within which the first step of a job should start, milliseconds. */
const promptStartMs = 600;
/** Time within which urgent work has to start, milliseconds. */
const startTargetMs = 1_500;
/** Length of the windows of which the worst are reported, milliseconds. */
const windowMs = 2_000;
/** Time that jobs get to end after the last one is submitted, milliseconds. */
const cooldownMs = 8_000;
/** Fraction of its weight that a late job counts. */
const lateCredit = 0.07;
/** Multiple of its time objective after which a late job counts nothing. */
const maxLateFactor = 3;
/** Resources of a long-running task. */
const longRunningNeeds = { cpu: 3_000, memory: 100, gpu: 0 };

interface VmArrival {
    readonly vm: string;
    readonly pool: string;
    readonly at: number;
}

interface SimulatedRun {
    readonly startedAt: number;
    readonly endsAt: number;
    readonly task: string;
    readonly run: number;
    readonly target: string;
}

/**
 * Simulates a load on pools between which VMs move, with the production code for queueing and placement.
 * @param pools - the pools
 * @param jobs - the load
 * @param plan - plans the moves of VMs
 * @param outage - a period without a leader; none by default
 * @param leader - how many tasks the leader can start and in which order; without limit by default
 * @returns the shares of the job weight that ended on time, the VM-seconds and the number of moves
 */
export function runPoolSimulation(
    pools: readonly SimulatedPool[],
    jobs: readonly SimulatedJob[],
    plan: PlanRound,
    outage: SimulatedOutage = { atMs: 0, durationMs: 0 },
    leader: SimulatedLeader = { startsPerSecond: Number.POSITIVE_INFINITY },
): SimulationResult {
    return new PoolSimulation(pools, jobs, outage, leader).run(plan);
}

class PoolSimulation {
    private readonly state: ControlState = createControlState();
    private readonly running: SimulatedRun[] = [];
    private readonly consolidation = new VmConsolidation();
    private readonly arrivals: VmArrival[] = [];
    /** Pool of each VM that is powered off. */
    private readonly poweredOff = new Map<string, string>();
    private readonly endedAt = new Map<string, number>();
    /** Tasks of the first step that each job has started, and when the last of them was. */
    private readonly firstSteps = new Map<string, { started: number; lastAt: number }>();
    private readonly arrivalTracker = new ArrivalTracker();
    private readonly vmCpu = new Map<string, number>();
    private readonly jobsById: Map<string, SimulatedJob>;
    private targetCount = 0;
    /** Starts that the leader can make now; at most one that it leaves unused is saved up. */
    private startsLeft = 0;
    private vmSeconds = 0;
    private moves = 0;
    /** Capacity of all pools while tasks wait in some, and the part that is free where none waits, summed over the plans. */
    private readonly capacityWhileWaiting = { all: 0, stuck: 0 };
    private lostCoreSeconds = 0;

    constructor(
        private readonly pools: readonly SimulatedPool[],
        private readonly jobs: readonly SimulatedJob[],
        private readonly outage: SimulatedOutage,
        private readonly leader: SimulatedLeader,
    ) {
        this.jobsById = new Map(jobs.map(job => [job.id, job]));
        const queue = { priority: 0, maxAttempts: 3, stretch: 1.6, objectiveMs: 600, timeoutMs: 3_000 };
        this.state.fleet.configuration = {
            version: 1,
            queues: pools.map(({ name }) => ({
                ...queue,
                name,
                host: "h",
                pathPrefix: `/${name}/`,
                pool: name,
                isPublic: true,
                advice: undefined,
            })),
            pools: pools.map(({ name, isSpare }) => ({ name, isSpare, isGuarded: true })),
            accounts: [],
            source: "{}",
        };
        for (const pool of pools) {
            for (let index = 0; index < pool.vms; index++) {
                const vm = `${pool.name}-${index}`;
                this.vmCpu.set(vm, pool.vmCpu ?? defaultVmCpu);
                this.state.fleet.vmHomes.set(vm, pool.name);
                if (pool.isSpare) {
                    this.poweredOff.set(vm, pool.name);
                }
                else {
                    this.addTarget(vm, pool.name);
                }
            }
            this.addLongRunning(pool);
        }
    }

    run(plan: PlanRound): SimulationResult {
        const lengthMs = (this.jobs.at(-1)?.atMs ?? 0) + cooldownMs;
        const warmUpMs = 4_000;
        let next = 0;
        for (let now = -warmUpMs; now < lengthMs; now += stepMs) {
            for (let job = this.jobs[next]; job !== undefined && job.atMs <= now; job = this.jobs[next]) {
                this.addJob(job);
                next += 1;
            }
            this.receiveArrivals(now);
            if (now < this.outage.atMs || now >= this.outage.atMs + this.outage.durationMs) {
                this.runRound(plan, now);
            }
            const moving = this.arrivals.filter(({ pool }) => !this.isSpare(pool)).length;
            this.vmSeconds += now < 0 ? 0 : (this.state.fleet.targets.size + moving) * stepMs / 1_000;
        }
        return this.computeResult();
    }

    private runRound(plan: PlanRound, now: number): void {
        this.recordEnds(now);
        this.startTasks(now);
        if (now % planMs === 0) {
            const statuses = this.buildPoolStatuses(now);
            this.noteCapacity(statuses);
            const moves = plan(statuses, now);
            this.closeVms(moves, now);
            moves.forEach(move => this.startMove(move, now));
        }
    }

    private addJob({ id, pool, atMs, steps }: SimulatedJob): void {
        const request = { spec: "", steps, times: 0, startAtMs: 0, intervalMs: 0 };
        applySubmitJob(this.state, { kind: CommandKind.SubmitJob, id, queue: pool, account: "", request, atMs });
    }

    private addLongRunning({ name, longRunning }: SimulatedPool): void {
        if (longRunning > 0) {
            const steps = [buildTestStep({
                count: longRunning,
                needs: longRunningNeeds,
                isLongRunning: true,
                maxPerTarget: 2,
                tailBoundMs: 100,
            })];
            this.addJob({ id: `lasting-${name}`, pool: name, atMs: 0, steps, durationsMs: [], weight: 0 });
        }
    }

    private addTarget(vm: string, pool: string): void {
        this.targetCount += 1;
        this.state.fleet.targets.set(`t${this.targetCount}`, {
            id: `t${this.targetCount}`,
            incarnation: this.targetCount,
            pool,
            address: "10.0.0.1:80",
            zone: "a",
            vm,
            rack: "r",
            labels: [],
            capacity: { cpu: this.readCpu(vm), memory: 1e9, gpu: 0 },
            state: ReportedTargetState.Ready,
        });
    }

    private receiveArrivals(now: number): void {
        for (const arrival of [...this.arrivals]) {
            if (arrival.at <= now) {
                this.arrivals.splice(this.arrivals.indexOf(arrival), 1);
                if (this.isSpare(arrival.pool)) {
                    this.poweredOff.set(arrival.vm, arrival.pool);
                }
                else {
                    this.addTarget(arrival.vm, arrival.pool);
                }
            }
        }
    }

    private recordEnds(now: number): void {
        const ended = this.running.filter(({ endsAt }) => endsAt <= now);
        for (const run of ended) {
            this.running.splice(this.running.indexOf(run), 1);
        }
        const ends = ended.map(({ task, run, target }) => ({ task, run, target, how: RunOutcome.Done, saved: "" }));
        applyRecordEnds(this.state, { kind: CommandKind.RecordEnds, ends, atMs: now });
        for (const { task } of ended) {
            const job = this.state.fleet.jobs.get(decodeTaskKey(task)?.job ?? "");
            if (job !== undefined && job.endedAtMs !== 0) {
                this.endedAt.set(job.id, job.endedAtMs);
            }
        }
    }

    private noteCapacity(statuses: readonly PoolStatus[]): void {
        if (statuses.some(({ wanted }) => wanted > 0)) {
            for (const { capacity, incoming, used, wanted } of statuses) {
                this.capacityWhileWaiting.all += capacity - incoming;
                this.capacityWhileWaiting.stuck += wanted > 0 ? 0 : capacity - incoming - used;
            }
        }
    }

    private closeVms(moves: readonly VmMove[], now: number): void {
        const { fleet } = this.state;
        const { readForecasts } = this.leader;
        if (readForecasts === undefined) {
            return;
        }
        const findRun = (task: string, run: number) =>
            this.running.find(other => other.task === task && other.run === run);
        const view = {
            mayLeave: () => true,
            isStopping: () => false,
            readTimes: (_: string, task: string, run: number) => {
                const found = findRun(task, run);
                return found && { elapsedMs: now - found.startedAt, remainingMs: found.endsAt - now };
            },
            estimate: estimator.computeStepMs,
            now,
        };
        const { stops } = this.consolidation.planRound(
            readForecasts(),
            moves,
            pools => collectBusyVms(fleet, pools, view),
            buildRoomTaker(fleet, () => Number.POSITIVE_INFINITY),
            now,
        );
        const ends = stops.map(({ task, run, target }) => ({
            task,
            run,
            target,
            how: RunOutcome.Stopped,
            saved: "",
        }));
        for (const { task, run, cpu, lostMs } of stops) {
            const found = findRun(task, run);
            this.running.splice(found === undefined ? this.running.length : this.running.indexOf(found), 1);
            this.lostCoreSeconds += cpu * lostMs / 1e6;
        }
        applyRecordEnds(this.state, { kind: CommandKind.RecordEnds, ends, atMs: now });
    }

    private startTasks(now: number): void {
        const { fleet } = this.state;
        const targets = buildPlacementTargets(
            fleet,
            id => this.consolidation.isClosed(fleet.targets.get(id)?.vm ?? "") ? 0 : Number.POSITIVE_INFINITY,
        );
        const { startsPerSecond, compare, commitMs = 0, endDelayMs = 0 } = this.leader;
        this.startsLeft = Math.min(1, this.startsLeft) + startsPerSecond * stepMs / 1_000;
        const starts = planStarts(fleet, collectCandidates(fleet, now, estimator), targets, compare && { compare })
            .slice(0, Math.floor(this.startsLeft));
        this.startsLeft -= starts.length;
        for (const start of applyRecordStarts(this.state, { kind: CommandKind.RecordStarts, starts })) {
            const key = decodeTaskKey(start.task);
            const durationMs = this.jobsById.get(key?.job ?? "")?.durationsMs[key?.step ?? 0];
            if (durationMs !== undefined) {
                const startedAt = now + commitMs;
                this.running.push({ ...start, startedAt, endsAt: now + commitMs + durationMs + commitMs + endDelayMs });
                this.noteStart(key, now + commitMs);
            }
        }
    }

    private noteStart(key: ReturnType<typeof decodeTaskKey>, now: number): void {
        if (key?.step === 0) {
            const { started } = this.firstSteps.get(key.job) ?? { started: 0 };
            this.firstSteps.set(key.job, { started: started + 1, lastAt: now });
        }
    }

    private buildPoolStatuses(now: number): PoolStatus[] {
        const { fleet } = this.state;
        const candidates = collectCandidates(fleet, now, estimator);
        const loads = new Map(collectPoolLoads(fleet, candidates).map(load => [load.pool, load]));
        const lateDemands = collectLateDemands(candidates);
        const arrivals = this.arrivalTracker.collectArrivals(fleet, now);
        return this.pools.map(({ name, isSpare, vms, vmCpu = defaultVmCpu }) => {
            const load = loads.get(name);
            const targets = [...fleet.targets.values()].filter(({ pool }) => pool === name);
            const idle = targets.filter(({ id }) => (fleet.targetLoads.get(id)?.runs.size ?? 0) === 0);
            const incoming = this.arrivals.filter(({ pool }) => pool === name)
                .reduce((sum, { vm }) => sum + this.readCpu(vm), 0);
            const poweredOff = [...this.poweredOff].filter(([, pool]) => pool === name).map(([vm]) => vm);
            return {
                name,
                isSpare,
                capacity: (load?.capacity ?? 0) + incoming,
                unusable: 0,
                incoming,
                used: load?.used ?? 0,
                usedLongRunning: load?.usedLongRunning ?? 0,
                wanted: load?.wanted ?? 0,
                wantedLate: lateDemands.get(name) ?? 0,
                arrivals: arrivals.get(name) ?? [],
                homeCapacity: vms * vmCpu,
                idleVms: [...idle.map(({ vm }) => vm), ...poweredOff].map(vm => ({
                    vm,
                    home: fleet.vmHomes.get(vm) ?? name,
                    cpu: this.readCpu(vm),
                })),
            };
        });
    }

    private startMove({ vm, from, to }: VmMove, now: number): void {
        const request = { token: 1, holder: "core-1", atMs: now };
        if (applyRecordMove(this.state, { kind: CommandKind.RecordMove, vm, from, to, ...request })) {
            this.poweredOff.delete(vm);
            this.moves += 1;
            this.arrivals.push({ vm, pool: to, at: now + moveMs + announceMs });
        }
    }

    private readCpu(vm: string): number {
        return this.vmCpu.get(vm) ?? defaultVmCpu;
    }

    private isSpare(name: string): boolean {
        return this.pools.some(pool => pool.name === name && pool.isSpare);
    }

    private computeResult(): SimulationResult {
        const computeOnTimeShare = (jobs: readonly SimulatedJob[]): number => {
            const total = jobs.reduce((sum, { weight }) => sum + weight, 0);
            return total === 0 ? 1 : jobs.reduce((sum, job) => sum + this.computeCredit(job), 0) / total;
        };
        const windows = new Map<number, SimulatedJob[]>();
        for (const job of this.jobs) {
            const window = Math.floor(job.atMs / windowMs);
            windows.set(window, [...windows.get(window) ?? [], job]);
        }
        const computeWorstShare = (compute: (jobs: readonly SimulatedJob[]) => number): number => {
            const worst = [...windows.values()].map(compute).sort((a, b) => a - b).slice(0, 2);
            return worst.reduce((sum, value) => sum + value, 0) / Math.max(1, worst.length);
        };
        const names = [...new Set(this.jobs.map(({ pool }) => pool))];
        return {
            onTimeShare: computeOnTimeShare(this.jobs),
            worstWindowsShare: computeWorstShare(computeOnTimeShare),
            worstPromptShare: computeWorstShare(jobs => this.computeStartedShare(jobs, promptStartMs)),
            startedInTimeShare: this.computeStartedShare(this.jobs, startTargetMs),
            worstPoolShare: Math.min(
                ...names.map(name => computeOnTimeShare(this.jobs.filter(({ pool }) => pool === name))),
            ),
            worstSizeRatio: Math.min(
                ...names.map(name => this.computeSizeRatio(this.jobs.filter(({ pool }) => pool === name))),
            ),
            vmSeconds: this.vmSeconds,
            moves: this.moves,
            stuckShare: this.capacityWhileWaiting.stuck / Math.max(1, this.capacityWhileWaiting.all),
            lostCoreSeconds: this.lostCoreSeconds,
        };
    }

    /** Computes the share of the jobs whose first step had started wholly within a time. */
    private computeStartedShare(jobs: readonly SimulatedJob[], withinMs: number): number {
        const started = jobs.filter(({ id, atMs, steps }) => {
            const first = this.firstSteps.get(id);
            return first !== undefined && first.started >= (steps[0]?.count ?? 0) && first.lastAt - atMs <= withinMs;
        });
        return started.length / Math.max(1, jobs.length);
    }

    /** Compares how many of the largest tenth of jobs, and of the fifth below it, earn credit with how many of all do. */
    private computeSizeRatio(jobs: readonly SimulatedJob[]): number {
        const sorted = [...jobs].sort((a, b) => b.weight - a.weight);
        const computeServedShare = (group: readonly SimulatedJob[]): number =>
            group.filter(job => this.computeCredit(job) > 0).length / Math.max(1, group.length);
        const [tenth, third] = [Math.ceil(jobs.length / 10), Math.ceil(jobs.length * 3 / 10)];
        const groups = [sorted.slice(0, tenth), sorted.slice(tenth, third)];
        return Math.min(...groups.map(computeServedShare)) / Math.max(Number.EPSILON, computeServedShare(jobs));
    }

    private computeCredit({ id, atMs, durationsMs, weight }: SimulatedJob): number {
        const tookMs = (this.endedAt.get(id) ?? Number.POSITIVE_INFINITY) - atMs;
        const objectiveMs = 1.6 * durationsMs.reduce((sum, value) => sum + value, 0) + 600;
        if (tookMs <= objectiveMs) {
            return weight;
        }
        return tookMs <= maxLateFactor * objectiveMs ? lateCredit * weight : 0;
    }
}

/** Uses the clients' estimates unchanged, without calibration. */
const estimator = {
    computeStepMs: (_: unknown, step: { estimateMs: number }) => step.estimateMs,
    readMeanJobWork: (job: { steps: readonly { count: number; needs: typeof zeroResources; estimateMs: number }[] }) =>
        job.steps.reduce((sum, { count, needs, estimateMs }) => sum + count * needs.cpu * estimateMs, 1),
};
