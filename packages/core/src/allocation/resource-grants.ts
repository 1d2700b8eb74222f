import type { Grant } from "./grant.js";

/** A countable resource and who may use how much of it. */
export interface ResourceGrants {
    capacity: number;
    readonly grants: Map<string, Grant>;
}
