import type { CommandKind } from "./command-kind.js";

/** Takes a VM without tasks out of its pool, before the platform is asked to move or maintain it. */
export interface RecordMoveCommand {
    readonly kind: CommandKind.RecordMove;
    readonly vm: string;
    /** Current pool of the VM. */
    readonly from: string;
    /** New pool of the VM; the same as `from` for maintenance. */
    readonly to: string;
    /** Fencing token of the request to the platform. */
    readonly token: number;
    /** Name of the process that sends the request. */
    readonly holder: string;
    /** Wall clock of that process, milliseconds. */
    readonly atMs: number;
}
