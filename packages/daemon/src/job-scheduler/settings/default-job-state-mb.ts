/**
 * Default of `limits.job_state_mb`. A snapshot is written beside the one before, so that twice the estimate, with the
 * margin of jobs under way, and the log have to fit a disk of 128 MB.
 */
export const defaultJobStateMb = 48;
