import type { PinningRun } from "./pinning-run.js";

/** Price of a core-second of work that is thrown away, VM-seconds. */
const lostCoreSecondPrice = 0.1;
/** Time until a run that is stopped has ended, milliseconds. */
const stopMs = 500;
const msPerSecond = 1_000;
/** Thousandths of a core times milliseconds in a core-second. */
const unitsPerCoreSecond = 1e6;

/**
 * Picks the runs of a VM to stop so that it becomes empty sooner: those for which the VM-seconds gained exceed the price
 * of the work thrown away by most. The runs that end last are stopped first; the others end by themselves.
 * @param runs - the runs on the VM
 * @returns the runs to stop; none when waiting is cheaper, or when the run that ends last may not be stopped
 */
export function pickStops(runs: readonly PinningRun[]): readonly PinningRun[] {
    const latestFirst = [...runs].sort((a, b) => b.remainingMs - a.remainingMs);
    const emptyInMs = latestFirst[0]?.remainingMs ?? 0;
    if (emptyInMs <= stopMs) {
        return [];
    }
    let bestCount = 0;
    let bestGain = 0;
    let price = 0;
    for (const [position, { cpu, lostMs, isMovable }] of latestFirst.entries()) {
        if (!isMovable()) {
            break;
        }
        price += cpu * lostMs / unitsPerCoreSecond * lostCoreSecondPrice;
        const emptyThenMs = Math.max(stopMs, latestFirst[position + 1]?.remainingMs ?? 0);
        const gain = (emptyInMs - emptyThenMs) / msPerSecond - price;
        if (gain > bestGain) {
            bestGain = gain;
            bestCount = position + 1;
        }
    }
    return latestFirst.slice(0, bestCount);
}
