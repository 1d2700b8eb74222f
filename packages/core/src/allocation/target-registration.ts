import type { TargetAvailability } from "../admission/target-availability.js";

/** What the leader knows of a target. */
export interface TargetRegistration {
    readonly vm: string;
    incarnation: number;
    address: string;
    slots: number;
    state: TargetAvailability;
    /** What each entry that hears the target says of it. */
    readonly stateByEntry: Map<string, TargetAvailability>;
    /** Sequence at which the view last changed. */
    sequence: number;
}
