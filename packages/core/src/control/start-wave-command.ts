import type { CommandKind } from "./command-kind.js";

/** Starts a reboot wave. Idempotent by wave id. */
export interface StartWaveCommand {
    readonly kind: CommandKind.StartWave;
    readonly waveId: string;
    readonly vms: readonly string[];
    /** Wall clock of the proposer, milliseconds. */
    readonly at: number;
}
