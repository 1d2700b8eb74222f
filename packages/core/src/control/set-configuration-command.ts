import type { FleetConfiguration } from "../configuration/fleet-configuration.js";
import type { CommandKind } from "./command-kind.js";

/** Activates a configuration, unless one with a higher version is active. */
export interface SetConfigurationCommand {
    readonly kind: CommandKind.SetConfiguration;
    readonly configuration: FleetConfiguration;
}
