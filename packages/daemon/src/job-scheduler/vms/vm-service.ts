import type { VmLease } from "./vm-lease.js";
import type { VmRequestResult } from "./vm-request-result.js";
import type { VmView } from "./vm-view.js";

/** Client of the platform's VM service. Every request is idempotent, so it may be sent again. */
export abstract class VmService {
    /**
     * Lists all VMs.
     * @returns the VMs, or `undefined` when the complete list could not be read: a request for a page failed or timed
     * out, its response had a status other than 200 or an invalid body, or the list has too many pages
     */
    abstract listVms(): Promise<VmView[] | undefined>;

    /**
     * Starts moving a VM to another pool; everything that runs on it ends at once.
     * @param vm - id of the VM
     * @param pool - name of the pool to move it to
     * @param lease - lease under which the request is sent
     * @returns the result of the request
     */
    abstract startMove(vm: string, pool: string, lease: VmLease): Promise<VmRequestResult>;

    /**
     * Starts the maintenance of a VM; everything that runs on it ends at once.
     * @param vm - id of the VM
     * @param wave - number of the maintenance wave
     * @param lease - lease under which the request is sent
     * @returns the result of the request
     */
    abstract startMaintenance(vm: string, wave: number, lease: VmLease): Promise<VmRequestResult>;

    /** Closes all connections. */
    abstract close(): void;
}
