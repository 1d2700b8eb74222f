import type { AffectedRun } from "./affected-run.js";
import type { MaintenanceCandidate } from "./maintenance-candidate.js";
import type { MaintenancePlan } from "./maintenance-plan.js";

/** Time that tasks get to end by themselves before those with checkpoints are moved, milliseconds. */
const checkpointGraceMs = 1_500;
/** Maximum grace period for tasks without checkpoints, however far the deadline is, milliseconds. */
const maxGraceMs = 6_000;
/** Minimum grace period, even when the wave is late, milliseconds. */
const minGraceMs = 1_500;

/**
 * Time for which a VM stays cordoned while there is no room for any of its long-running tasks, milliseconds: enough for a
 * VM to be brought to the pool and for a task to start on it.
 */
const maxRoomlessMs = 6_000;
/** Time for which it stays cordoned while there is room and none of them is moved, as other tasks of their steps are away. */
const maxUnchangedMs = 15_000;

/** Time for which a long-running task waits for room before it is stopped without, milliseconds: a VM may be on its way. */
const roomGraceMs = 3_000;

/** State of a wave, the input of the planner. */
interface MaintenanceWaveView {
    /** Maximum number of VMs that may be down at once. */
    readonly cap: number;
    /** Deadline for the whole wave, monotonic milliseconds. */
    readonly deadlineAt: number;
    /** Number of VMs of the wave that are down for maintenance now. */
    readonly downCount: number;
    /** VMs whose maintenance has not begun. */
    readonly waiting: readonly MaintenanceCandidate[];
    /** Time for which a VM is down, milliseconds. */
    readonly maintenanceMs: number;
    /** Monotonic milliseconds. */
    readonly now: number;
    /**
     * Takes the room for a long-running task on another target.
     * @param run - the run of the task
     * @param cordoned - ids of the targets that the wave cordons
     * @returns false when there is none
     */
    readonly takeRoom: (run: AffectedRun, cordoned: ReadonlySet<string>) => boolean;
}

/**
 * Plans the next actions of a wave. Load comes in bursts during the maintenance too, so the least loaded VMs go first,
 * short tasks get time to end by themselves, and tasks with checkpoints move. A long-running task is stopped only when its
 * step tolerates that and there is room for it elsewhere; without room, only if the whole VM can then be emptied, so that
 * its maintenance begins. No more VMs are drained than may be down, and none is maintained while a run is left on it. A VM
 * that cannot be emptied is postponed, as tasks may wait for the capacity that its cordon withholds.
 * @param wave - state of the wave
 * @returns the VMs to drain or postpone, the runs to stop and the VMs to maintain
 */
export function planMaintenance(wave: MaintenanceWaveView): MaintenancePlan {
    const availableSlots = Math.max(0, wave.cap - wave.downCount);
    const isUnchangedFor = (vm: MaintenanceCandidate, ms: number): boolean => isUnchanged(vm, wave.now, ms);
    const selected = wave.waiting.filter(vm => !isUnchangedFor(vm, maxUnchangedMs)).sort(compareDrainOrder)
        .slice(0, availableSlots);
    const cordoned = new Set(selected.flatMap(({ target }) => target ?? []));
    const graceMs = computeGracePeriod(wave);
    const takeRoom = (run: AffectedRun): boolean => wave.takeRoom(run, cordoned);
    const drains = selected.map(vm => planDrain(vm, wave.now, graceMs, takeRoom));
    const isRoomless = (vm: MaintenanceCandidate, position: number): boolean =>
        drains[position]?.isRoomless === true && isUnchangedFor(vm, maxRoomlessMs);
    const postponed = [
        ...wave.waiting.filter(vm => isUnchangedFor(vm, maxUnchangedMs)),
        ...selected.filter(isRoomless),
    ];
    const stops = selected.flatMap(({ target }, position) =>
        target === undefined ? [] : (drains[position]?.stops ?? []).map(run => ({ target, run }))
    );
    const readyVms = selected.filter(vm => vm.drainingSince !== undefined || vm.target === undefined)
        .filter(({ runs }) => runs.length === 0);
    return {
        draining: selected.filter(vm => !postponed.includes(vm)).map(({ vm }) => vm),
        stops,
        postponed: postponed.map(({ vm }) => vm),
        vmsToStart: readyVms.map(({ vm }) => vm),
    };
}

/** Tells whether none of the long-running tasks on a VM that is being drained has been moved for some time. */
function isUnchanged(
    { runs, drainingSince, unchangedSince }: MaintenanceCandidate,
    now: number,
    forMs: number,
): boolean {
    return drainingSince !== undefined && runs.some(({ isLongRunning }) => isLongRunning)
        && now - Math.max(drainingSince, unchangedSince) >= forMs;
}

/** Orders VMs that are draining first, so that they stay selected, then those with the least drain cost. */
function compareDrainOrder(a: MaintenanceCandidate, b: MaintenanceCandidate): number {
    const draining = Number(b.drainingSince !== undefined) - Number(a.drainingSince !== undefined);
    return draining !== 0 ? draining : computeDrainCost(a) - computeDrainCost(b);
}

function computeDrainCost({ runs }: MaintenanceCandidate): number {
    const longRunningWeight = 4;
    return runs.reduce((sum, run) => sum + (run.isLongRunning ? longRunningWeight : 1), 0);
}

/** Divides the time until the deadline evenly among the rounds that the cap makes necessary, less the maintenance. */
function computeGracePeriod({ waiting, cap, deadlineAt, now, maintenanceMs }: MaintenanceWaveView): number {
    const rounds = Math.ceil(waiting.length / Math.max(1, cap));
    const perRoundMs = (deadlineAt - now) / Math.max(1, rounds) - maintenanceMs;
    return Math.min(maxGraceMs, Math.max(minGraceMs, perRoundMs));
}

/** What to do with the runs on a VM that is being drained. */
interface Drain {
    readonly stops: readonly AffectedRun[];
    /** Whether there is no room for any of its long-running tasks, and the VM cannot be emptied without. */
    readonly isRoomless: boolean;
}

/**
 * Plans which runs to stop: after the grace period also short tasks, as waiting longer could make the wave late. The
 * maintenance itself starts only once no run is left.
 */
function planDrain(
    { runs, drainingSince }: MaintenanceCandidate,
    now: number,
    graceMs: number,
    takeRoom: (run: AffectedRun) => boolean,
): Drain {
    if (drainingSince === undefined) {
        return { stops: [], isRoomless: false };
    }
    const drainingMs = now - drainingSince;
    const longRunning = runs.filter(run => run.isLongRunning);
    // Tasks that are being stopped need the room that they were stopped for.
    const withRoom = new Set([
        ...longRunning.filter(run => run.isStopping && takeRoom(run)),
        ...longRunning.filter(run => !run.isStopping && takeRoom(run)),
    ]);
    const canBeEmptied = longRunning.every(run => withRoom.has(run) || run.isRemovable);
    const stops = runs.filter(run =>
        run.isLongRunning
            ? run.isDispensable
                && (withRoom.has(run) || (canBeEmptied && drainingMs >= Math.min(roomGraceMs, graceMs)))
            : drainingMs >= (run.hasCheckpoints ? Math.min(checkpointGraceMs, graceMs) : graceMs)
    );
    return { stops, isRoomless: withRoom.size === 0 && !canBeEmptied };
}
