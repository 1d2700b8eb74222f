import type { TargetState } from "../admission/target-state.js";

/** What the leader knows of a target. */
export interface TargetView {
    readonly vm: string;
    incarnation: number;
    address: string;
    slots: number;
    state: TargetState;
    /** What each entry that hears the target says of it. */
    readonly registrars: Map<string, TargetState>;
    /** Sequence at which the view last changed. */
    sequence: number;
}
