import type { IsolationPolicy } from "./isolation-policy.js";

/** A group of clients with a common share and upper limit. */
export interface Team {
    /** Weight relative to the other teams with waiting work when a pool is full. */
    readonly share: number;
    /** Largest number of requests and tasks of the team that may run at once across the fleet. */
    readonly upperLimit: number;
    /** How keyed requests are handled in a zone whose copy of the keys is outdated. */
    readonly isolatedService: IsolationPolicy;
}
