import type { TargetHealth } from "../health/target-health.js";
import type { TargetAvailability } from "./target-availability.js";

/** A target and this entry's slots on it. */
export interface TargetSlots {
    readonly vm: string;
    pool: string;
    zone: string;
    /** Counts the starts of the target; a higher one replaces a lower one. */
    incarnation: number;
    /** IP address and port. */
    address: string;
    state: TargetAvailability;
    /** Slots that this entry may use. */
    allowed: number;
    /** Slots occupied by running requests and by abandoned ones that may still run. */
    inUse: number;
    health: TargetHealth;
}
