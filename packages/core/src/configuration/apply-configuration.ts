import type { ControlState } from "../control/control-state.js";
import type { SetConfigurationCommand } from "../control/set-configuration-command.js";
import { ConfigurationOutcome } from "./configuration-outcome.js";

/**
 * Puts a configuration in force when its version is the highest. An equal version with other content changes nothing.
 * @param state - the replicated state
 * @param command - the command
 * @returns what became of it
 */
export function applyConfiguration(
    { fleet }: ControlState,
    { configuration }: SetConfigurationCommand,
): ConfigurationOutcome {
    const current = fleet.configuration;
    if (current !== undefined && configuration.version <= current.version) {
        const isSame = configuration.version === current.version && configuration.source === current.source;
        return isSame ? ConfigurationOutcome.AlreadyApplied : ConfigurationOutcome.Superseded;
    }
    fleet.configuration = configuration;
    return ConfigurationOutcome.Applied;
}
