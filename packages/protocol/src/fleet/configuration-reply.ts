import type { ConfigurationFault } from "@daisylock/core/configuration/configuration-fault.js";
import type { ConfigurationOutcome } from "@daisylock/core/configuration/configuration-outcome.js";

/** What became of a configuration. */
export interface ConfigurationReply {
    /** `undefined` when it is invalid. */
    readonly outcome: ConfigurationOutcome | undefined;
    readonly faults: readonly ConfigurationFault[];
}
