import type { PauseReason } from "../reboot-waves/pause-reason.js";
import type { WaveStatus } from "../reboot-waves/wave-status.js";
import type { WaveTransition } from "../reboot-waves/wave-transition.js";
import type { CommandKind } from "./command-kind.js";

/** Commits steps of a wave, or changes its status. */
export interface StepWaveCommand {
    readonly kind: CommandKind.StepWave;
    readonly waveId: string;
    readonly transitions: readonly WaveTransition[];
    /** VMs that are out of service without a wave's doing, on which the transitions rest. */
    readonly down: readonly string[];
    readonly status?: WaveStatus | undefined;
    readonly pauseReason?: PauseReason | undefined;
    /** Wall clock, milliseconds. */
    readonly at: number;
}
