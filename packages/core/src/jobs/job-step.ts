import type { Resources } from "../resources/resources.js";

/** One step of a job: equal tasks that run in parallel. */
export interface JobStep {
    readonly count: number;
    readonly needs: Resources;
    /** The caller's rough guess at the time of one task, milliseconds. */
    readonly estimateMs: number;
    /** Positions of earlier steps that must be done first. */
    readonly after: readonly number[];
    readonly hasCheckpoints: boolean;
    /** Whether the tasks work only while all of them are present. */
    readonly isGang: boolean;
    /** Whether the tasks are slow unless all run on one rack. */
    readonly isSameRack: boolean;
    readonly requiredLabel: string | undefined;
    /** Rack near which the tasks are fast. */
    readonly dataRack: string | undefined;
    /** Most tasks of the step on one target; 0 for no bound. */
    readonly maxPerTarget: number;
    readonly isSpeculative: boolean;
    /** Whether the tasks run until the job is cancelled. */
    readonly isLongRunning: boolean;
    /** What the tasks run; tasks of one image behave alike. */
    readonly image: string;
    /** Tail latency that the users of a long-running task must see at most, milliseconds; 0 for no bound. */
    readonly tailBoundMs: number;
    /** Whether the tasks take only the processor time that others leave unused. */
    readonly isFiller: boolean;
    /** Tasks of the step that may be away at once by our doing; `undefined` for no bound. */
    readonly mayMiss: number | undefined;
}
