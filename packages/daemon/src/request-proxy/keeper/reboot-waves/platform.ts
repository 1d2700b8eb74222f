import type Result from "true-myth/result";

import type { PlatformFailure } from "./platform-failure.js";

/** What the platform does with VMs. */
export abstract class Platform {
    /**
     * Asks for a reboot. Asking again under the same id is safe and does not reboot twice.
     * @param vm - the VM
     * @param operationId - id of the reboot
     * @returns an error when it is not known that the platform took the request
     */
    abstract sendReboot(vm: string, operationId: string): Promise<Result<undefined, PlatformFailure>>;
}
