import type { RunEnd } from "./run-end.js";

/** The end of a run, as recorded before the target may forget it. */
export interface TaskEnd {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly target: string;
    readonly how: RunEnd;
    /** Newest checkpoint; empty for none. */
    readonly saved: string;
}
