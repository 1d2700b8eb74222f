import type { VmRequestRecord } from "./vm-request-record.js";

/** By how much the wall clocks of two keepers may differ, milliseconds. */
const maxClockSkewMs = 1_000;

/** What a process knows of the newest order about a VM. */
interface SeenOrder {
    readonly order: VmRequestRecord;
    /** Name of the process that wants to give the next one. */
    readonly holder: string;
    /** Time since this process first saw the order, by its monotonic clock, milliseconds. */
    readonly seenForMs: number;
    /** Wall clock of this process, milliseconds. */
    readonly nowMs: number;
    /** Time after an order for which only its holder may give another, milliseconds. */
    readonly leaseMs: number;
}

/**
 * Tells whether another process's last order about a VM is older than its lease. Answers the loss of all keepers at
 * once: a process that has just started has seen every order just now, and would leave every pool as it is
 * for the whole lease although most orders were given long ago.
 * @param seen - the order and what is known of its age
 * @returns true when this process may give the next order
 */
export function isHolderLeaseExpired({ order, holder, seenForMs, nowMs, leaseMs }: SeenOrder): boolean {
    return order.holder === holder || seenForMs > leaseMs || nowMs - order.atMs > leaseMs + maxClockSkewMs;
}
