import type { Resources } from "../resources/resources.js";

/** A client account. */
export interface Account {
    readonly name: string;
    readonly keys: readonly string[];
    /** Share when all is full. */
    readonly weight: number;
    /** Most that may run at once; 0 in a dimension means no limit there. */
    readonly cap: Resources;
}
