import type { Resources } from "../resources/resources.js";

/** One step of a job: identical tasks that run in parallel. */
export interface JobStep {
    /** Number of tasks. */
    readonly count: number;
    /** Resources that one task needs. */
    readonly needs: Resources;
    /** The caller's rough estimate of the duration of one task. */
    readonly estimateMs: number;
    /** Positions of the earlier steps that must be done before this one starts. */
    readonly after: readonly number[];
    /** Whether a restarted task continues from its newest checkpoint. */
    readonly hasCheckpoints: boolean;
    /** Whether the tasks make progress only while all of them run (gang scheduling). */
    readonly isGang: boolean;
    /** Whether the tasks are slow unless all run on one rack. */
    readonly isSameRack: boolean;
    /** Label that a target must have to run the tasks; `undefined` for any target. */
    readonly requiredLabel: string | undefined;
    /** Rack that holds the input data; tasks run faster on its targets. */
    readonly dataRack: string | undefined;
    /** Maximum number of tasks of the step on one target; 0 for no limit. */
    readonly maxPerTarget: number;
    /** Read from the job request; has no effect on scheduling. */
    readonly isSpeculative: boolean;
    /** Whether the tasks run until the job is cancelled. */
    readonly isLongRunning: boolean;
    /** Image that the tasks run; tasks of the same image are expected to behave alike. */
    readonly image: string;
    /** Upper limit of the tail latency for the users of a long-running task; 0 for no limit. */
    readonly tailBoundMs: number;
    /** Whether the tasks are best-effort: they use only processor time that other tasks leave idle. */
    readonly isFiller: boolean;
    /** Maximum number of unavailable tasks, counting the one that maintenance stops; `undefined` for no limit. */
    readonly mayMiss: number | undefined;
}
