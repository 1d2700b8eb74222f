import type { TargetCrash } from "../crashes/target-crash.js";
import type { CommandKind } from "./command-kind.js";

/** Removes an incarnation of a target that has ended, and records the end of all runs on it. */
export interface RemoveTargetCommand {
    readonly kind: CommandKind.RemoveTarget;
    readonly id: string;
    readonly incarnation: number;
    /** Wall clock of the leader, milliseconds. */
    readonly atMs: number;
    /** The crash with which the incarnation has ended; `undefined` if it ended otherwise. */
    readonly crash?: TargetCrash | undefined;
}
