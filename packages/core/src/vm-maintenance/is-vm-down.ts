/** Longest time after its maintenance for which a VM that has not returned counts as down, milliseconds. */
const maxReturnDelayMs = 1_500;

/** A VM whose maintenance was requested. Points in time are wall clock, milliseconds. */
interface RequestedMaintenance {
    readonly requestedAtMs: number;
    readonly nowMs: number;
    /** Duration of the maintenance, milliseconds. */
    readonly maintenanceMs: number;
    /** Start of the target that is recorded on the VM; 0 when none is. */
    readonly incarnation: number;
}

/**
 * Tells whether a VM is still down for maintenance. It has returned when the maintenance is over and a target that
 * started after the request is recorded on it.
 * @param maintenance - the VM's maintenance request and the recorded target
 * @returns false once the VM has returned, or when it is overdue
 */
export function isVmDown(
    { requestedAtMs, nowMs, maintenanceMs, incarnation }: RequestedMaintenance,
): boolean {
    const elapsedMs = nowMs - requestedAtMs;
    const isBack = elapsedMs >= maintenanceMs && incarnation > requestedAtMs;
    return !isBack && elapsedMs <= maintenanceMs + maxReturnDelayMs;
}
