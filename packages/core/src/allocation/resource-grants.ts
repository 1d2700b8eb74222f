import type { Grant } from "./grant.js";

/** The grants of a countable resource: the slots of a target or the upper limit of a team. */
export interface ResourceGrants {
    capacity: number;
    /** Grants by holder. */
    readonly grants: Map<string, Grant>;
}
