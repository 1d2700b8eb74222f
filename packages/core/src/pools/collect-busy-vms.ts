import { readConfigurationIndex } from "../configuration/read-configuration-index.js";
import type { FleetState } from "../fleet/fleet-state.js";
import { decodeTaskKey } from "../jobs/decode-task-key.js";
import type { EstimateStep } from "../queueing/estimate-step.js";
import type { TargetRecord } from "../targets/target-record.js";
import type { BusyVm } from "./busy-vm.js";
import { isStopHarmless } from "./is-stop-harmless.js";
import type { PinningRun } from "./pinning-run.js";
import type { RunTimes } from "./run-times.js";

/** What the leader knows of targets and runs. */
interface RunView {
    /** Whether the VM of a target may leave its pool once it is idle. */
    readonly mayLeave: (target: TargetRecord) => boolean;
    readonly isStopping: (target: string, task: string, run: number) => boolean;
    /** Reads the progress of a run; `undefined` when the target has not told it. */
    readonly readTimes: (target: string, task: string, run: number) => RunTimes | undefined;
    /** Estimates the duration of the tasks of a step, milliseconds. */
    readonly estimate: EstimateStep;
    /** Wall-clock time, milliseconds. */
    readonly now: number;
}

/** Utilization up to which a VM is worth emptying: beyond it, its tasks need more room elsewhere than it brings. */
const maxUtilization = 0.5;

/**
 * Collects the VMs in little use on which all runs end by themselves. A run may be stopped if it is the first of its task, as
 * a task that is stopped again and again never ends; not if it belongs to a gang, is a suspect of crashes, runs in the rack of
 * its data, or if an adviser decides on its targets.
 * @param fleet - the fleet state
 * @param pools - names of the pools whose VMs are needed
 * @param view - what the leader knows of targets and runs
 * @returns the VMs, without those on which a long-running task may be running
 */
export function collectBusyVms(fleet: FleetState, pools: ReadonlySet<string>, view: RunView): BusyVm[] {
    const vms: BusyVm[] = [];
    for (const target of fleet.targets.values()) {
        const load = fleet.targetLoads.get(target.id);
        if (load === undefined || load.runs.size === 0 || !pools.has(target.pool)) {
            continue;
        }
        if (load.used.cpu > maxUtilization * target.capacity.cpu || !view.mayLeave(target)) {
            continue;
        }
        const runs = [...load.runs].map(([task, run]) => buildRun(fleet, target, task, run, view));
        if (runs.every(run => run !== undefined)) {
            vms.push({ vm: target.vm, pool: target.pool, cpu: target.capacity.cpu, runs });
        }
    }
    return vms;
}

/** Returns `undefined` for a run that does not end by itself, or of which nothing is known. */
function buildRun(
    fleet: FleetState,
    { id, rack }: TargetRecord,
    task: string,
    run: number,
    { isStopping, readTimes, estimate, now }: RunView,
): PinningRun | undefined {
    const key = decodeTaskKey(task);
    const job = fleet.jobs.get(key?.job ?? "");
    const step = job?.steps[key?.step ?? -1];
    if (key === undefined || job === undefined || step === undefined || step.isLongRunning) {
        return undefined;
    }
    const base = { task, run, target: id, cpu: step.needs.cpu };
    if (isStopping(id, task, run)) {
        return { ...base, remainingMs: 0, lostMs: 0, isMovable: () => false };
    }
    const times = readTimes(id, task, run);
    if (times === undefined) {
        return { ...base, remainingMs: estimate(job, step), lostMs: 0, isMovable: () => false };
    }
    const lostMs = step.hasCheckpoints ? 0 : times.elapsedMs;
    const isMovable = () => {
        const { configuration } = fleet;
        const queue = configuration === undefined
            ? undefined
            : readConfigurationIndex(configuration).queuesByName.get(job.queue);
        return run === 1 && !step.isGang && step.dataRack !== rack && queue?.advice === undefined
            && !fleet.suspectTasks.has(task)
            && isStopHarmless(job, key, { ...times, lostMs }, { queue, estimate, now });
    };
    return { ...base, remainingMs: times.remainingMs, lostMs, isMovable };
}
