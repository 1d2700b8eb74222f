import type { VmStep } from "./vm-step.js";

/** One VM in a wave. */
export interface WaveVm {
    readonly step: VmStep;
    /** Wall clock of the last step, milliseconds. */
    readonly since: number;
    /** Incarnation that the target had before the reboot. */
    readonly incarnation: number;
}
