import type { VmLease } from "../vms/vm-lease.js";
import { VmRequestResult } from "../vms/vm-request-result.js";
import { VmService } from "../vms/vm-service.js";
import { VmState } from "../vms/vm-state.js";
import type { VmView } from "../vms/vm-view.js";

/** A request that the VM service received. */
interface ReceivedVmRequest {
    readonly vm: string;
    /** Pool of a move, or number of a maintenance wave. */
    readonly argument: string | number;
    readonly lease: VmLease;
}

/** A VM service whose list and results a test controls. */
export class FakeVmService extends VmService {
    vms: VmView[] = [];
    /** Whether the list can be read. */
    isListAvailable = true;
    readonly requests: ReceivedVmRequest[] = [];
    /** Called for each request; determines its result. */
    handleRequest: (vm: string) => VmRequestResult = () => VmRequestResult.Done;

    /**
     * Adds a VM to the list.
     * @param vm - id of the VM
     * @param pool - its pool
     * @param target - id of the target on it; empty for none
     */
    addVm(vm: string, pool: string, target: string): void {
        this.vms.push({ vm, pool, state: VmState.Up, target });
    }

    override async listVms(): Promise<VmView[] | undefined> {
        return this.isListAvailable ? [...this.vms] : undefined;
    }

    override async startMove(vm: string, pool: string, lease: VmLease): Promise<VmRequestResult> {
        this.requests.push({ vm, argument: pool, lease });
        return this.handleRequest(vm);
    }

    override async startMaintenance(vm: string, wave: number, lease: VmLease): Promise<VmRequestResult> {
        this.requests.push({ vm, argument: wave, lease });
        return this.handleRequest(vm);
    }

    override close(): void {
        // There are no connections to close.
    }
}
