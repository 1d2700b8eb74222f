import type { Job } from "./job.js";
import type { StepProgress } from "./step-progress.js";

/** A job as stored in a snapshot. */
export interface EncodedJob extends Omit<Job, "begunCount" | "occurrences"> {
    /** Absent in a job of an earlier version that is stored with all its occurrences. */
    readonly begunCount?: number | undefined;
    /** All occurrences in order, done or not; or, next to `begunCount`, the numbers and progress of those under way. */
    readonly occurrences: readonly StepProgress[][] | readonly [number, StepProgress[]][];
}
