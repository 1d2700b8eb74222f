import type { AffectedRun } from "./affected-run.js";

/** A VM of a wave whose maintenance has not begun. */
export interface MaintenanceCandidate {
    readonly vm: string;
    /** Id of the target on it; `undefined` when none is recorded. */
    readonly target: string | undefined;
    readonly runs: readonly AffectedRun[];
    /** Time from which no new task starts there, monotonic milliseconds; `undefined` when it is not draining. */
    readonly drainingSince: number | undefined;
    /** Time since which its number of long-running tasks is the same, monotonic milliseconds. */
    readonly unchangedSince: number;
}
