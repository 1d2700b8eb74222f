import type { PauseReason } from "../reboot-waves/pause-reason.js";
import type { WaveStatus } from "../reboot-waves/wave-status.js";
import type { WaveTransition } from "../reboot-waves/wave-transition.js";
import type { CommandKind } from "./command-kind.js";

/** Commits steps of a reboot wave, changes its status, or both. */
export interface StepWaveCommand {
    readonly kind: CommandKind.StepWave;
    readonly waveId: string;
    readonly transitions: readonly WaveTransition[];
    /** VMs that are unavailable for other reasons than a wave; they count towards the disruption budget. */
    readonly down: readonly string[];
    /** New status of the wave; `undefined` keeps the current one. */
    readonly status?: WaveStatus | undefined;
    /** Why the wave pauses; used only together with `status`. */
    readonly pauseReason?: PauseReason | undefined;
    /** Wall clock of the proposer, milliseconds. */
    readonly at: number;
}
