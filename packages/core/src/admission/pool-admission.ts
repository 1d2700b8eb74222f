import type { TeamQueue } from "./team-queue.js";

/** Admission of one pool at one entry. */
export interface PoolAdmission {
    readonly name: string;
    readonly queues: Map<string, TeamQueue>;
    /** Names of the pool's VMs on which this entry has slots. */
    readonly targets: Set<string>;
    /** Moving average of the time a request holds a slot, milliseconds. */
    meanServiceMs: number;
    /** Position in the round of targets. */
    roundRobinPosition: number;
}
