import { VmStep } from "./vm-step.js";

const unavailableSteps: ReadonlySet<VmStep> = new Set([VmStep.Draining, VmStep.Rebooting, VmStep.Failed]);

/**
 * Tells whether a step takes a VM out of service.
 * @param step - the step
 * @returns true when the VM counts as unavailable
 */
export function isStepUnavailable(step: VmStep): boolean {
    return unavailableSteps.has(step);
}
