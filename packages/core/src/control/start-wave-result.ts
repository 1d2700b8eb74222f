import type { StartWaveOutcome } from "./start-wave-outcome.js";

/** The result of starting a reboot wave. */
export interface StartWaveResult {
    readonly outcome: StartWaveOutcome;
    /** Id of the wave that already includes some of the VMs. */
    readonly winner?: string | undefined;
    /** VMs that the tables do not contain. */
    readonly unknown?: readonly string[] | undefined;
}
