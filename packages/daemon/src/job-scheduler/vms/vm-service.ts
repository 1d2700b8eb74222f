import type { VmLease } from "./vm-lease.js";
import type { VmRequestResult } from "./vm-request-result.js";
import type { VmView } from "./vm-view.js";

/** The platform's service for VMs. Every order may be sent again with the same meaning. */
export abstract class VmService {
    /**
     * Lists all VMs.
     * @returns the VMs, or `undefined` when the service did not answer
     */
    abstract listVms(): Promise<VmView[] | undefined>;

    /**
     * Moves a VM to another pool; all that runs on it ends at once.
     * @param vm - the VM
     * @param pool - the pool
     * @param authority - the lease
     * @returns what became of the order
     */
    abstract startMove(vm: string, pool: string, authority: VmLease): Promise<VmRequestResult>;

    /**
     * Begins the maintenance of a VM; all that runs on it ends at once.
     * @param vm - the VM
     * @param wave - number of the wave
     * @param authority - the lease
     * @returns what became of the order
     */
    abstract startMaintenance(vm: string, wave: number, authority: VmLease): Promise<VmRequestResult>;

    /** Closes all connections. */
    abstract close(): void;
}
