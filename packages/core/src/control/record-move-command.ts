import type { CommandKind } from "./command-kind.js";

/** Takes an empty VM out of its pool before the platform is told to move or to maintain it. */
export interface RecordMoveCommand {
    readonly kind: CommandKind.RecordMove;
    readonly vm: string;
    readonly from: string;
    readonly to: string;
    /** Fencing token under which the platform is told. */
    readonly token: number;
    /** Name of the process that tells it. */
    readonly holder: string;
    /** Wall clock of that process, milliseconds. */
    readonly atMs: number;
}
