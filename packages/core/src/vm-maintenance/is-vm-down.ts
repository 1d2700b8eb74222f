/** Longest time after its maintenance for which a VM that does not come back counts as down, milliseconds. */
const maxReturnDelayMs = 1_500;

/** What is known of a VM whose maintenance was ordered. Times are wall clock, milliseconds. */
interface OrderedMaintenance {
    readonly orderedAtMs: number;
    readonly nowMs: number;
    /** Time that maintenance takes. */
    readonly maintenanceMs: number;
    /** Start of the target that is recorded on the VM; 0 for none. */
    readonly incarnation: number;
}

/**
 * Tells whether a VM is still down for maintenance: until a target that was born after the order has announced itself.
 * @param upkeep - what is known of it
 * @returns false once it is back, or should be
 */
export function isVmDown({ orderedAtMs, nowMs, maintenanceMs: upkeepMs, incarnation }: OrderedMaintenance): boolean {
    const passedMs = nowMs - orderedAtMs;
    const isBack = passedMs >= upkeepMs && incarnation > orderedAtMs;
    return !isBack && passedMs <= upkeepMs + maxReturnDelayMs;
}
