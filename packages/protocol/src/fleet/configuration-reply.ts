import type { ConfigurationFault } from "@daisylock/core/configuration/configuration-fault.js";
import type { ConfigurationOutcome } from "@daisylock/core/configuration/configuration-outcome.js";

/** Result of submitting a configuration. */
export interface ConfigurationReply {
    /** `undefined` if the configuration is invalid. */
    readonly outcome: ConfigurationOutcome | undefined;
    readonly faults: readonly ConfigurationFault[];
}
