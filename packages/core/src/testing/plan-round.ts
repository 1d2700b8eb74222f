import type { PoolStatus } from "../pools/pool-status.js";
import type { VmMove } from "../pools/vm-move.js";

/** Plans the moves of VMs between pools. The simulation calls it every 100 ms of simulated time. */
export type PlanRound = (pools: readonly PoolStatus[], now: number) => readonly VmMove[];
