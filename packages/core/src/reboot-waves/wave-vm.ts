import type { VmStep } from "./vm-step.js";

/** State of a VM in a wave. */
export interface WaveVm {
    readonly step: VmStep;
    /** When the VM entered the step, wall clock, milliseconds. */
    readonly since: number;
    /** Incarnation of the target before the reboot; a higher one proves that the VM rebooted. */
    readonly incarnation: number;
}
