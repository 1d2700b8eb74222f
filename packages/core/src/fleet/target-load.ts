import type { Resources } from "../resources/resources.js";

/** What may be running on one target. */
export interface TargetLoad {
    used: Resources;
    /** Run by encoded task key. */
    readonly runs: Map<string, number>;
}
