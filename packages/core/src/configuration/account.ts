import type { Resources } from "../resources/resources.js";

/** A client account. */
export interface Account {
    readonly name: string;
    /** API keys that identify the account. */
    readonly keys: readonly string[];
    /** Relative share of a pool at capacity. */
    readonly weight: number;
    /** Limit on the total resources of tasks that may be running; 0 means no limit in that dimension. */
    readonly cap: Resources;
}
