import type { PoolReading } from "../pools/pool-reading.js";
import type { VmMove } from "../pools/vm-move.js";

/** Plans moves; called every 100 ms. */
export type PlanRound = (pools: readonly PoolReading[], now: number) => readonly VmMove[];
