import type { FleetConfiguration } from "../configuration/fleet-configuration.js";
import type { CommandKind } from "./command-kind.js";

/** Activates a configuration if its version is higher than that of the active one. */
export interface SetConfigurationCommand {
    readonly kind: CommandKind.SetConfiguration;
    readonly configuration: FleetConfiguration;
}
