import type { JobStep } from "./job-step.js";

/** A job as a caller hands it in. */
export interface JobRequest {
    readonly spec: string;
    readonly steps: readonly JobStep[];
    /** Occurrences; 0 for a job that runs once, at once. */
    readonly times: number;
    /** When the first occurrence is due, milliseconds since 1970. */
    readonly startAtMs: number;
    readonly intervalMs: number;
}
