import type { AffectedRun } from "./affected-run.js";
import type { MaintenanceCandidate } from "./maintenance-candidate.js";
import type { MaintenancePlan } from "./maintenance-plan.js";

/** Time for which short tasks are waited for before those with checkpoints move, milliseconds. */
const checkpointGraceMs = 1_500;
/** Longest wait for tasks without checkpoints, however far the deadline is, milliseconds. */
const maxGraceMs = 6_000;
const minGraceMs = 1_500;

/** A wave as the planner sees it. */
interface MaintenanceWaveView {
    readonly cap: number;
    readonly deadlineAtMs: number;
    /** VMs of the wave that are down for maintenance now. */
    readonly downCount: number;
    /** VMs whose maintenance has not begun. */
    readonly waiting: readonly MaintenanceCandidate[];
    /** Time that a VM is down, milliseconds. */
    readonly maintenanceMs: number;
    /** Wall clock, milliseconds. */
    readonly now: number;
}

/**
 * Plans the next steps of a wave. Answers maintenance beside a load that comes in turns: the least loaded VMs go first,
 * short tasks end by themselves, tasks with checkpoints move, and a long-running task is stopped only when its step can
 * do without it. No more VMs are emptied than may be down.
 * @param wave - the wave
 * @returns what to empty, to stop and to order
 */
export function planMaintenance(wave: MaintenanceWaveView): MaintenancePlan {
    const places = Math.max(0, wave.cap - wave.downCount);
    const chosen = [...wave.waiting].sort(compareDrainOrder).slice(0, places);
    const patienceMs = computeGracePeriod(wave);
    const stops = chosen.flatMap(vm =>
        vm.target === undefined
            ? []
            : planStops(vm, wave.now, patienceMs).map(run => ({ target: vm.target ?? "", run }))
    );
    const orders = chosen.filter(vm => vm.drainingSince !== undefined || vm.target === undefined)
        .filter(vm => isReadyForMaintenance(vm, wave.now, patienceMs));
    return { draining: chosen.map(({ vm }) => vm), stops, orders: orders.map(({ vm }) => vm) };
}

/** VMs that are being emptied stay chosen; then those with the least to move. */
function compareDrainOrder(a: MaintenanceCandidate, b: MaintenanceCandidate): number {
    const begun = Number(b.drainingSince !== undefined) - Number(a.drainingSince !== undefined);
    return begun !== 0 ? begun : computeDrainCost(a) - computeDrainCost(b);
}

function computeDrainCost({ runs }: MaintenanceCandidate): number {
    const longRunningWeight = 4;
    return runs.reduce((sum, run) => sum + (run.isLongRunning ? longRunningWeight : 1), 0);
}

/** Spreads the time that is left evenly over the rounds that the cap makes necessary. */
function computeGracePeriod({ waiting, cap, deadlineAtMs, now, maintenanceMs: upkeepMs }: MaintenanceWaveView): number {
    const rounds = Math.ceil(waiting.length / Math.max(1, cap));
    const perRoundMs = (deadlineAtMs - now) / Math.max(1, rounds) - upkeepMs;
    return Math.min(maxGraceMs, Math.max(minGraceMs, perRoundMs));
}

function planStops(
    { runs, drainingSince: emptyingSince }: MaintenanceCandidate,
    now: number,
    patienceMs: number,
): AffectedRun[] {
    const emptyingMs = emptyingSince === undefined ? 0 : now - emptyingSince;
    return runs.filter(run =>
        run.isLongRunning
            ? run.isDispensable
            : run.hasCheckpoints && emptyingMs >= Math.min(checkpointGraceMs, patienceMs)
    );
}

/** Long-running tasks must be gone; short ones are cut off only when waiting longer would make the wave late. */
function isReadyForMaintenance(
    { runs, drainingSince: emptyingSince }: MaintenanceCandidate,
    now: number,
    patienceMs: number,
): boolean {
    const isPatienceOver = emptyingSince !== undefined && now - emptyingSince >= patienceMs;
    return runs.length === 0 || (isPatienceOver && runs.every(run => !run.isLongRunning));
}
