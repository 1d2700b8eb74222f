import type { Resources } from "../resources/resources.js";
import type { ReportedTargetState } from "./reported-target-state.js";

/** One incarnation of a target, as the keepers have recorded it. */
export interface TargetRecord {
    readonly id: string;
    /** Start of the process as the target reports it, milliseconds since the Unix epoch; 0 when it reports none. */
    readonly incarnation: number;
    readonly pool: string;
    readonly address: string;
    /** Availability zone. */
    readonly zone: string;
    /** Id of the VM on which it runs; empty when it reports none. */
    readonly vm: string;
    readonly rack: string;
    readonly labels: readonly string[];
    readonly capacity: Resources;
    readonly state: ReportedTargetState;
    /** Number of the report with which it was recorded; `undefined` in the reports themselves. */
    readonly reportSequence?: number | undefined;
    /** Reading of the target's clock in that report, milliseconds; absent in records of earlier versions. */
    readonly reportClockMs?: number | undefined;
}
