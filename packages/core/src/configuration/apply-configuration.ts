import type { ControlState } from "../control/control-state.js";
import type { SetConfigurationCommand } from "../control/set-configuration-command.js";
import { ConfigurationOutcome } from "./configuration-outcome.js";

/**
 * Applies a configuration if its version is higher than the active one. Resending an applied version with other content
 * changes nothing.
 * @param state - the replicated state
 * @param command - the command
 * @returns whether the configuration was applied, or why not
 */
export function applyConfiguration(
    { fleet }: ControlState,
    { configuration }: SetConfigurationCommand,
): ConfigurationOutcome {
    const current = fleet.configuration;
    if (current !== undefined && configuration.version <= current.version) {
        const isIdentical = configuration.version === current.version && configuration.source === current.source;
        return isIdentical ? ConfigurationOutcome.AlreadyApplied : ConfigurationOutcome.Superseded;
    }
    fleet.configuration = configuration;
    return ConfigurationOutcome.Applied;
}
