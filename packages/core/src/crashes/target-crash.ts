import type { CrashedRun } from "./crashed-run.js";

/** The crash of a target incarnation: its process ended, and neither it nor this system had announced the end. */
export interface TargetCrash {
    /** Id of the target. */
    readonly target: string;
    /** What the leader knows of the runs on it. */
    readonly runs: readonly CrashedRun[];
}
