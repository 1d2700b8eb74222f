import type { ConfigurationFaultKind } from "./configuration-fault-kind.js";

/** A validation error of a configuration. */
export interface ConfigurationFault {
    readonly kind: ConfigurationFaultKind;
    /** Name of the invalid queue, pool or account; the version if that is invalid. */
    readonly subject: string;
}
