import type { UpkeepRun } from "./upkeep-run.js";

/** A VM of a wave whose maintenance has not begun. */
export interface UpkeepVm {
    readonly vm: string;
    /** Id of the target on it; `undefined` when none is known. */
    readonly target: string | undefined;
    readonly runs: readonly UpkeepRun[];
    /** Since when nothing new is started there, wall clock; `undefined` when it is not being emptied. */
    readonly emptyingSince: number | undefined;
}
