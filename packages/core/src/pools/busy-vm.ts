import type { PinningRun } from "./pinning-run.js";

/** A VM that may move to another pool once its runs have ended. No long-running task is on it. */
export interface BusyVm {
    readonly vm: string;
    readonly pool: string;
    /** CPU capacity, thousandths of a core. */
    readonly cpu: number;
    readonly runs: readonly PinningRun[];
}
