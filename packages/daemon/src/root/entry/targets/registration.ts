import type { TargetState } from "@daisylock/core/admission/target-state.js";

/** A target that announces itself to this entry. */
export interface Registration {
    readonly vm: string;
    readonly incarnation: number;
    readonly address: string;
    readonly slots: number;
    state: TargetState;
    /** Dispatches that it runs, with their teams. */
    running: ReadonlyMap<string, string>;
    /** Monotonic milliseconds. */
    heardAt: number;
    /** Rises with each change that the leader has to know. */
    version: number;
}
