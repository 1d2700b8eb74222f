import type { TargetAvailability } from "@daisylock/core/admission/target-availability.js";

/** A target that announces itself to this entry. */
export interface AnnouncedTarget {
    readonly vm: string;
    readonly incarnation: number;
    readonly address: string;
    readonly slots: number;
    state: TargetAvailability;
    /** Dispatches that it runs, with their teams. */
    running: ReadonlyMap<string, string>;
    /** Monotonic milliseconds. */
    heardAt: number;
    /** Rises with each change that the leader has to know. */
    version: number;
}
