import { VmStep } from "./vm-step.js";

const unavailableSteps: ReadonlySet<VmStep> = new Set([VmStep.Draining, VmStep.Rebooting, VmStep.Failed]);

/**
 * Tells whether a VM is out of service at a maintenance step.
 * @param step - the step
 * @returns true when the VM counts as unavailable
 */
export function isStepUnavailable(step: VmStep): boolean {
    return unavailableSteps.has(step);
}
