import { VmRequestResult } from "../vms/vm-request-result.js";
import { VmService } from "../vms/vm-service.js";
import type { VmView } from "../vms/vm-view.js";

/** VM service of a rehearsal, which has no VMs. */
export class RehearsalVmService extends VmService {
    override async listVms(): Promise<VmView[]> {
        return [];
    }

    override async startMove(): Promise<VmRequestResult> {
        return VmRequestResult.Unknown;
    }

    override async startMaintenance(): Promise<VmRequestResult> {
        return VmRequestResult.Unknown;
    }

    override close(): void {
        // There are no connections to close.
    }
}
