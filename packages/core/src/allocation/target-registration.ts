import type { TargetAvailability } from "../admission/target-availability.js";

/** The leader's record of a target. */
export interface TargetRegistration {
    readonly vm: string;
    /** Counts the starts of the target; a higher one replaces a lower one. */
    incarnation: number;
    address: string;
    /** Maximum number of requests that the target runs at once. */
    slots: number;
    /** Availability merged from the states that the entries report. */
    state: TargetAvailability;
    /** Availability as reported by each entry to which the target announces itself. */
    readonly stateByEntry: Map<string, TargetAvailability>;
    /** Sequence number of the last change of this record. */
    sequence: number;
}
