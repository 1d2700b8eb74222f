import type { CommandKind } from "./command-kind.js";

/** Cancels a job. */
export interface CancelJobCommand {
    readonly kind: CommandKind.CancelJob;
    readonly id: string;
    /** Wall clock of the leader, milliseconds. */
    readonly atMs: number;
}
