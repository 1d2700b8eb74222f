import { RunProgress } from "./run-progress.js";

/**
 * Tells whether a target has confirmed the start of a run, so that the run has begun for certain.
 * @param progress - how far the run had come; `undefined` if nothing is known
 * @returns false for a run that may never have begun
 */
export function isStartConfirmed(progress: RunProgress | undefined): boolean {
    return progress === RunProgress.OnProbation || progress === RunProgress.Settled;
}
