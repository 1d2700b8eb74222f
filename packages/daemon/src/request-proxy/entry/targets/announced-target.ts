import type { TargetAvailability } from "@daisylock/core/admission/target-availability.js";

/** Newest announcement of a target to this entry, and whether its lease has expired. */
export interface AnnouncedTarget {
    readonly vm: string;
    readonly incarnation: number;
    readonly address: string;
    readonly slots: number;
    state: TargetAvailability;
    /** Teams of the requests that the target runs, by dispatch id. */
    running: ReadonlyMap<string, string>;
    /** Time of the newest announcement, monotonic milliseconds. */
    reportedAt: number;
    /** Registry version of the last change that the leader must receive. */
    version: number;
}
