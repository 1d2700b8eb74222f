import type Result from "true-myth/result";

import type { PlatformFailure } from "./platform-failure.js";

/** Interface of the platform that operates the VMs. */
export abstract class Platform {
    /**
     * Requests a reboot. A repeated request with the same operation id does not reboot the VM again.
     * @param vm - name of the VM
     * @param operationId - idempotency key of the reboot
     * @returns an error when the platform did not confirm that it accepted the request
     */
    abstract sendReboot(vm: string, operationId: string): Promise<Result<undefined, PlatformFailure>>;
}
