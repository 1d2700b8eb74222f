import type { Resources } from "../resources/resources.js";
import type { ReportedTargetState } from "./reported-target-state.js";

/** One life of a target, as the keepers know it. */
export interface TargetRecord {
    readonly id: string;
    /** Start of this life by the target's own word, milliseconds since 1970; 0 when it does not say. */
    readonly incarnation: number;
    readonly pool: string;
    readonly address: string;
    readonly zone: string;
    /** Id of the VM it runs on; empty when it does not say. */
    readonly vm: string;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    readonly state: ReportedTargetState;
}
