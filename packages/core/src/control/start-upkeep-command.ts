import type { UpkeepWave } from "../upkeep/upkeep-wave.js";
import type { CommandKind } from "./command-kind.js";

/** Begins a wave of maintenance; a number that is known changes nothing. */
export interface StartUpkeepCommand {
    readonly kind: CommandKind.StartUpkeep;
    readonly wave: UpkeepWave;
}
