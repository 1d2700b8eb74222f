import type { PoolStatus } from "../pools/pool-status.js";
import type { VmMove } from "../pools/vm-move.js";

/** Plans moves; called every 100 ms. */
export type PlanRound = (pools: readonly PoolStatus[], now: number) => readonly VmMove[];
