import type { DemandStage } from "./demand-stage.js";

/** An accepted job, or an occurrence of a scheduled one that has become due. */
export interface JobArrival {
    /** Time since it arrived, milliseconds. */
    readonly ageMs: number;
    readonly stages: readonly DemandStage[];
}
