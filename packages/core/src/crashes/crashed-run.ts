import type { RunProgress } from "./run-progress.js";

/** A run on a target that has crashed. */
export interface CrashedRun {
    /** Encoded task key. */
    readonly task: string;
    readonly run: number;
    readonly progress: RunProgress;
}
