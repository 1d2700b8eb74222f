import type { CommandKind } from "./command-kind.js";

/** Starts a wave. The same id again gets the same answer. */
export interface StartWaveCommand {
    readonly kind: CommandKind.StartWave;
    readonly waveId: string;
    readonly vms: readonly string[];
    /** Wall clock, milliseconds. */
    readonly at: number;
}
