import type { Worker } from "./worker.js";

/** Name and factory of one child of a supervisor. */
export interface ChildSpec {
    readonly name: string;
    /** Creates a new instance for each start. */
    readonly create: () => Worker;
}
