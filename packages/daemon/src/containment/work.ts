import type { WorkKind } from "./work-kind.js";

/** Work that is done for one target, call, VM or peer. */
export interface Work {
    readonly work: WorkKind;
    /** What the work is done for: id of a target, key of a task, id of a VM, address, or method and path of a request. */
    readonly subject: string;
}
