import type { AffectedRun } from "./affected-run.js";

/** A VM of a wave whose maintenance has not begun. */
export interface MaintenanceCandidate {
    readonly vm: string;
    /** Id of the target on it; `undefined` when none is known. */
    readonly target: string | undefined;
    readonly runs: readonly AffectedRun[];
    /** Since when nothing new is started there, wall clock; `undefined` when it is not being emptied. */
    readonly drainingSince: number | undefined;
}
