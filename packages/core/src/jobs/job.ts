import type { JobPhase } from "./job-phase.js";
import type { JobStep } from "./job-step.js";
import type { StepProgress } from "./step-progress.js";

/** A job that was accepted. */
export interface Job {
    readonly id: string;
    /** Name of the queue it was handed in to. */
    readonly queue: string;
    /** Pool of the queue when the job was accepted; the configuration in force goes before it. */
    readonly pool: string;
    /** Client account; empty where the queue is public. */
    readonly account: string;
    readonly maxAttempts: number;
    /** Dropped once the job has ended and nothing of it may run. */
    spec: string;
    steps: readonly JobStep[];
    readonly times: number;
    readonly startAtMs: number;
    readonly intervalMs: number;
    /** Wall clock of the leader that accepted it. */
    readonly acceptedAtMs: number;
    phase: JobPhase;
    /** Wall clock of the leader that recorded its end; 0 before. */
    endedAtMs: number;
    /** Tasks that may be running. */
    placedCount: number;
    /** Progress by occurrence and step; empty once the job is forgotten but for its state. */
    occurrences: StepProgress[][];
}
