import type { VmState } from "./vm-state.js";

/** A VM in the list of the platform's VM service. */
export interface VmView {
    readonly vm: string;
    readonly pool: string;
    readonly state: VmState;
    /** Id of the target that runs on the VM; empty for none. */
    readonly target: string;
}
