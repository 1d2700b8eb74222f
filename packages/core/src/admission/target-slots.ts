import type { TargetHealth } from "../health/target-health.js";
import type { TargetAvailability } from "./target-availability.js";

/** A target on which this entry may use slots. */
export interface TargetSlots {
    readonly vm: string;
    pool: string;
    zone: string;
    /** Counts the starts of the target; a higher one replaces a lower one. */
    incarnation: number;
    /** IP and port. */
    address: string;
    state: TargetAvailability;
    /** Slots that this entry may use. */
    allowed: number;
    inUse: number;
    health: TargetHealth;
}
