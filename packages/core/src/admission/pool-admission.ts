import type { TeamQueue } from "./team-queue.js";

/** Admission state of one pool at one entry. */
export interface PoolAdmission {
    readonly name: string;
    /** Queues by team. */
    readonly queues: Map<string, TeamQueue>;
    /** Names of the pool's VMs on which this entry has slots. */
    readonly targets: Set<string>;
    /** Exponential moving average of the time that a request occupies a slot, milliseconds. */
    meanServiceMs: number;
    /** Counter by which targets are picked in rotation; with the least-loaded policy it breaks ties. */
    roundRobinPosition: number;
}
