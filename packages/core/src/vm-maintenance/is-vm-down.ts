/** Longest time after its maintenance for which a VM that has not returned counts as down, milliseconds. */
const maxReturnDelayMs = 1_500;

/** A VM whose maintenance was requested. */
interface RequestedMaintenance {
    /** Time since the request by a monotonic clock, milliseconds. */
    readonly elapsedMs: number;
    /** Duration of the maintenance, milliseconds. */
    readonly maintenanceMs: number;
    /** Whether another target incarnation than at the request is recorded on the VM. */
    readonly isRestarted: boolean;
}

/**
 * Tells whether a VM is still down for maintenance. It has returned when the maintenance is over and another target
 * incarnation than before is recorded on it.
 * @param maintenance - the VM's maintenance request and the recorded target
 * @returns false once the VM has returned, or when it is overdue
 */
export function isVmDown({ elapsedMs, maintenanceMs, isRestarted }: RequestedMaintenance): boolean {
    const isBack = elapsedMs >= maintenanceMs && isRestarted;
    return !isBack && elapsedMs <= maintenanceMs + maxReturnDelayMs;
}
