import type { CommandKind } from "./command-kind.js";

/** Forgets a target life that is over; whatever ran there has ended. */
export interface RemoveTargetCommand {
    readonly kind: CommandKind.RemoveTarget;
    readonly id: string;
    readonly incarnation: number;
    /** Wall clock of the leader, milliseconds. */
    readonly atMs: number;
}
