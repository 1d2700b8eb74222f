import type { UpkeepPlan } from "./upkeep-plan.js";
import type { UpkeepRun } from "./upkeep-run.js";
import type { UpkeepVm } from "./upkeep-vm.js";

/** Time for which short tasks are waited for before those with checkpoints move, milliseconds. */
const checkpointPatienceMs = 1_500;
/** Longest wait for tasks without checkpoints, however far the deadline is, milliseconds. */
const maxPatienceMs = 6_000;
const minPatienceMs = 1_500;

/** A wave as the planner sees it. */
interface UpkeepWaveView {
    readonly cap: number;
    readonly deadlineAtMs: number;
    /** VMs of the wave that are down for maintenance now. */
    readonly downCount: number;
    /** VMs whose maintenance has not begun. */
    readonly waiting: readonly UpkeepVm[];
    /** Time that a VM is down, milliseconds. */
    readonly upkeepMs: number;
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
export function planUpkeep(wave: UpkeepWaveView): UpkeepPlan {
    const places = Math.max(0, wave.cap - wave.downCount);
    const chosen = [...wave.waiting].sort(compareVms).slice(0, places);
    const patienceMs = computePatience(wave);
    const stops = chosen.flatMap(vm =>
        vm.target === undefined
            ? []
            : planStops(vm, wave.now, patienceMs).map(run => ({ target: vm.target ?? "", run }))
    );
    const orders = chosen.filter(vm => vm.emptyingSince !== undefined || vm.target === undefined)
        .filter(vm => isEmptyEnough(vm, wave.now, patienceMs));
    return { emptying: chosen.map(({ vm }) => vm), stops, orders: orders.map(({ vm }) => vm) };
}

/** VMs that are being emptied stay chosen; then those with the least to move. */
function compareVms(a: UpkeepVm, b: UpkeepVm): number {
    const begun = Number(b.emptyingSince !== undefined) - Number(a.emptyingSince !== undefined);
    return begun !== 0 ? begun : countWeight(a) - countWeight(b);
}

function countWeight({ runs }: UpkeepVm): number {
    const longRunningWeight = 4;
    return runs.reduce((sum, run) => sum + (run.isLongRunning ? longRunningWeight : 1), 0);
}

/** Spreads the time that is left evenly over the rounds that the cap makes necessary. */
function computePatience({ waiting, cap, deadlineAtMs, now, upkeepMs }: UpkeepWaveView): number {
    const rounds = Math.ceil(waiting.length / Math.max(1, cap));
    const perRoundMs = (deadlineAtMs - now) / Math.max(1, rounds) - upkeepMs;
    return Math.min(maxPatienceMs, Math.max(minPatienceMs, perRoundMs));
}

function planStops({ runs, emptyingSince }: UpkeepVm, now: number, patienceMs: number): UpkeepRun[] {
    const emptyingMs = emptyingSince === undefined ? 0 : now - emptyingSince;
    return runs.filter(run =>
        run.isLongRunning
            ? run.isDispensable
            : run.hasCheckpoints && emptyingMs >= Math.min(checkpointPatienceMs, patienceMs)
    );
}

/** Long-running tasks must be gone; short ones are cut off only when waiting longer would make the wave late. */
function isEmptyEnough({ runs, emptyingSince }: UpkeepVm, now: number, patienceMs: number): boolean {
    const isPatienceOver = emptyingSince !== undefined && now - emptyingSince >= patienceMs;
    return runs.length === 0 || (isPatienceOver && runs.every(run => !run.isLongRunning));
}
