import type { IsolationPolicy } from "./isolation-policy.js";

/** A group of callers with a common share and limit. */
export interface Team {
    /** Weight among the teams that have work when a pool is full. */
    readonly share: number;
    /** Most requests and tasks of the team that may run at once across the fleet. */
    readonly upperLimit: number;
    readonly isolatedService: IsolationPolicy;
}
