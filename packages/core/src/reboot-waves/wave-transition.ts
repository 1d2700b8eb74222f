import type { VmStep } from "./vm-step.js";

/** One step of a VM in a wave. It applies only to a VM that is still at the step it starts from. */
export interface WaveTransition {
    readonly vm: string;
    readonly from: VmStep;
    readonly to: VmStep;
    readonly incarnation: number;
}
