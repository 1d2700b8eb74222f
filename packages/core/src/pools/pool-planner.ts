import { DemandTrend } from "./demand-trend.js";
import { planMoves } from "./plan-moves.js";
import type { PoolReading } from "./pool-reading.js";
import type { PoolView } from "./pool-view.js";
import { TurnMemory } from "./turn-memory.js";
import type { VmMove } from "./vm-move.js";

/** Plans moves of VMs round by round: what pools ask for now, how it grows, and whose turn may come next. */
export class PoolPlanner {
    private readonly trends = new Map<string, DemandTrend>();
    private readonly turns = new TurnMemory();

    /**
     * @param moveMs - time from the order of a move until the VM serves, milliseconds
     */
    constructor(private readonly moveMs: number) {}

    /**
     * Plans one round.
     * @param readings - all pools as they are now
     * @param now - monotonic milliseconds
     * @returns the moves
     */
    planRound(readings: readonly PoolReading[], now: number): VmMove[] {
        const active = readings.filter(({ isSpare }) => !isSpare);
        for (const { name, used, wanted, usedLongRunning, homeCapacity } of active) {
            this.turns.noteDemand(name, (used + wanted - usedLongRunning) / Math.max(1, homeCapacity), now);
        }
        const names = active.map(({ name }) => name);
        return planMoves(readings.map(reading => this.buildView(reading, names, now)));
    }

    private buildView(reading: PoolReading, names: readonly string[], now: number): PoolView {
        const { name, isSpare, used, wanted, usedLongRunning, homeCapacity } = reading;
        const trend = this.trends.get(name) ?? new DemandTrend();
        this.trends.set(name, trend);
        const { expected, peak } = trend.addSample(now, used + wanted, this.moveMs);
        const reserve = isSpare
            ? 0
            : usedLongRunning + this.turns.computeReserve(name, names, now) * homeCapacity;
        return { ...reading, expected, peak, reserve };
    }
}
