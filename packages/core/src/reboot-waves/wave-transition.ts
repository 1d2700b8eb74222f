import type { VmStep } from "./vm-step.js";

/** A transition of a VM between two maintenance steps. It has no effect unless the VM is still at the step `from`. */
export interface WaveTransition {
    readonly vm: string;
    readonly from: VmStep;
    readonly to: VmStep;
    /** Incarnation of the target to record with the step. */
    readonly incarnation: number;
}
