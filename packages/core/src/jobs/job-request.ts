import type { JobStep } from "./job-step.js";

/** A job as submitted by a caller. */
export interface JobRequest {
    readonly spec: string;
    readonly steps: readonly JobStep[];
    /** Number of occurrences of a scheduled job; 0 for a job that runs once and immediately. */
    readonly times: number;
    /** Due time of the first occurrence, Unix time in milliseconds. */
    readonly startAtMs: number;
    /** Time between the due times of two occurrences. */
    readonly intervalMs: number;
}
