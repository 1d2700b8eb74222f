import type { IsolationPolicy } from "./isolation-policy.js";

/** A group of clients that have a share and an upper limit in common. */
export interface Team {
    /** Weight relative to the other teams with waiting work when a pool is full. */
    readonly share: number;
    /** Largest number of requests and tasks of the team that may run at once across the fleet. */
    readonly upperLimit: number;
    /** How an entry whose copy of the keys is outdated handles keyed requests of the team. */
    readonly isolatedService: IsolationPolicy;
}
