import type { ConfigurationFaultKind } from "./configuration-fault-kind.js";

/** One fault of a configuration. */
export interface ConfigurationFault {
    readonly kind: ConfigurationFaultKind;
    /** Name of the queue, pool or account at fault. */
    readonly subject: string;
}
