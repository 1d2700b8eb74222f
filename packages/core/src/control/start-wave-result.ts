import type { StartWaveOutcome } from "./start-wave-outcome.js";

/** The answer to the start of a wave. */
export interface StartWaveResult {
    readonly outcome: StartWaveOutcome;
    /** The wave that has some of the VMs already. */
    readonly winner?: string | undefined;
    /** VMs that the tables do not name. */
    readonly unknown?: readonly string[] | undefined;
}
