import type { TaskRun } from "./task-run.js";

/** What a leader does about the runs of a target after the target has listed its own. */
export interface RunSyncPlan {
    /** Recorded runs that the target has confirmed. */
    readonly confirmed: readonly TaskRun[];
    /** Recorded runs that the target does not have, whose start is to be sent, or which are to be stopped if lost. */
    readonly unstarted: readonly TaskRun[];
    /** Recorded runs that the target had confirmed and no longer has; to be stopped before they count as ended. */
    readonly lost: readonly TaskRun[];
    /** Recorded runs whose stop is confirmed and which the target no longer has; to be recorded as stopped. */
    readonly stopped: readonly TaskRun[];
    /** Runs on the target that are not recorded there; to be stopped. */
    readonly unassigned: readonly TaskRun[];
}
