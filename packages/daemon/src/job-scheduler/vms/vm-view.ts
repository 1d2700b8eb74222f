import type { VmState } from "./vm-state.js";

/** A VM as the platform lists it. */
export interface VmView {
    readonly vm: string;
    readonly pool: string;
    readonly state: VmState;
    /** Id of the target that runs on it; empty for none. */
    readonly target: string;
}
