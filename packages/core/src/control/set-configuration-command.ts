import type { FleetConfiguration } from "../configuration/fleet-configuration.js";
import type { CommandKind } from "./command-kind.js";

/** Puts a configuration in force, unless a higher version is. */
export interface SetConfigurationCommand {
    readonly kind: CommandKind.SetConfiguration;
    readonly configuration: FleetConfiguration;
}
