/** Longest time after its maintenance for which a VM that does not come back counts as down, milliseconds. */
const returnMs = 1_500;

/** What is known of a VM whose maintenance was ordered. Times are wall clock, milliseconds. */
interface OrderedUpkeep {
    readonly orderedAtMs: number;
    readonly nowMs: number;
    /** Time that maintenance takes. */
    readonly upkeepMs: number;
    /** Start of the target that is recorded on the VM; 0 for none. */
    readonly incarnation: number;
}

/**
 * Tells whether a VM is still down for maintenance: until a target that was born after the order has announced itself.
 * @param upkeep - what is known of it
 * @returns false once it is back, or should be
 */
export function isVmDown({ orderedAtMs, nowMs, upkeepMs, incarnation }: OrderedUpkeep): boolean {
    const passedMs = nowMs - orderedAtMs;
    const isBack = passedMs >= upkeepMs && incarnation > orderedAtMs;
    return !isBack && passedMs <= upkeepMs + returnMs;
}
