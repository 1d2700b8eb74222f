import type { JobPhase } from "./job-phase.js";
import type { JobStep } from "./job-step.js";
import type { StepProgress } from "./step-progress.js";

/** An accepted job. */
export interface Job {
    readonly id: string;
    /** Name of the queue to which it was submitted. */
    readonly queue: string;
    /** Pool of the queue when the job was accepted; used only if the active configuration no longer has the queue. */
    readonly pool: string;
    /** Client account; empty where the queue is public. */
    readonly account: string;
    /** Failed runs after which a task, and with it the job, fails. */
    readonly maxAttempts: number;
    /** Emptied once the job is finished and none of its tasks may be running. */
    spec: string;
    /** Emptied together with `spec`. */
    steps: readonly JobStep[];
    readonly times: number;
    readonly startAtMs: number;
    readonly intervalMs: number;
    /** Wall-clock time of the leader that accepted the job. */
    readonly acceptedAtMs: number;
    phase: JobPhase;
    /** Wall-clock time of the leader that recorded the end of the job; 0 until then. */
    endedAtMs: number;
    /** Number of tasks that may be running. */
    placedCount: number;
    /** Number of occurrences that have begun, in the order of their due times; the later ones hold no state. */
    begunCount: number;
    /** Progress by step of the occurrences that have begun and are not done; emptied together with `spec`. */
    readonly occurrences: Map<number, StepProgress[]>;
}
