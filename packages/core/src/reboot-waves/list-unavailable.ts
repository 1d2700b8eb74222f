import { isStepUnavailable } from "./is-step-unavailable.js";
import type { MaintenanceVm } from "./maintenance-vm.js";
import type { Wave } from "./wave.js";

/**
 * Lists the VMs that are unavailable, because of a wave or for any other reason.
 * @param fleet - all VMs
 * @param waves - all waves
 * @returns names of the unavailable VMs
 */
export function listUnavailable(fleet: Iterable<MaintenanceVm>, waves: Iterable<Wave>): Set<string> {
    const unavailable = new Set<string>();
    for (const { vm, isReady } of fleet) {
        if (!isReady) {
            unavailable.add(vm);
        }
    }
    for (const wave of waves) {
        for (const [vm, { step }] of wave.vms) {
            if (isStepUnavailable(step)) {
                unavailable.add(vm);
            }
        }
    }
    return unavailable;
}
