import type { EndedRun } from "./ended-run.js";
import type { OrderAnswer } from "./order-answer.js";
import type { RunningTask } from "./running-task.js";

/** A target's answer to a lease renewal. */
export interface HoldAnswer extends OrderAnswer {
    /** Start of this life of the target, milliseconds since 1970; absent where it gave none. */
    readonly incarnation: number | undefined;
    readonly running: readonly RunningTask[];
    readonly ended: readonly EndedRun[];
}
