import type { VmRequestRecord } from "./vm-request-record.js";

/** Maximum difference between the wall clocks of two keepers (control-plane replicas), which may jump, milliseconds. */
const maxClockSkewMs = 10_000;

/** The newest recorded request for a VM, as one process sees it. */
interface RecordedRequestView {
    readonly request: VmRequestRecord;
    /** Name of the process that is to send the next request. */
    readonly holder: string;
    /** Time since this process first saw the recorded request, by its monotonic clock, milliseconds. */
    readonly seenForMs: number;
    /** Wall clock of this process, milliseconds. */
    readonly nowMs: number;
    /** Time after a request for which only its holder may send another, milliseconds. */
    readonly leaseMs: number;
}

/**
 * Tells whether the lease that the newest request for a VM gives to its holder has expired. Checks two clocks: a
 * process that starts after the loss of all keepers sees every request for the first time, and by its monotonic clock
 * alone it would leave all pools unchanged for a whole lease, although most requests are old.
 * @param view - the newest request and its age by both clocks
 * @returns true when this process may send the next request, because the lease has expired or is its own
 */
export function isHolderLeaseExpired(
    { request, holder, seenForMs, nowMs, leaseMs }: RecordedRequestView,
): boolean {
    return request.holder === holder || seenForMs > leaseMs || nowMs - request.atMs > leaseMs + maxClockSkewMs;
}
