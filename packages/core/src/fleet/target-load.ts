import type { Resources } from "../resources/resources.js";

/** Tasks that may be running on one target. */
export interface TargetLoad {
    /** Resources that the tasks reserve. */
    used: Resources;
    /** Run number by encoded task key. */
    readonly runs: Map<string, number>;
}
