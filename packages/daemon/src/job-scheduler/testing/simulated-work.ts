import type { Resources } from "@daisylock/core/resources/resources.js";

/** What a simulated task does; the spec of its job carries it as JSON. */
export interface SimulatedWork {
    readonly needs: Resources;
    /** Duration of a run, milliseconds; 0 for a run that lasts until it is stopped. */
    readonly durationMs: number;
    /** Duration that its job states, milliseconds; the actual one by default. */
    readonly estimateMs?: number;
    /** Time after its start at which a run crashes its target, milliseconds; `undefined` for a task that does not. */
    readonly crashAfterMs?: number;
}
