import type { Worker } from "./worker.js";

/** How a supervisor makes one of its children. */
export interface ChildSpec {
    readonly name: string;
    /** Makes the child anew for each start. */
    readonly create: () => Worker;
}
