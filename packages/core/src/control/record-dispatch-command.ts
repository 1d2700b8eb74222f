import type { CommandKind } from "./command-kind.js";

/** Claims an unrepeatable request before its first byte goes to a target. */
export interface RecordDispatchCommand {
    readonly kind: CommandKind.RecordDispatch;
    /** Team and request id. */
    readonly dispatchId: string;
    /** Unique for each claim, so that a claim sent twice is recognised. */
    readonly attempt: string;
    /** What identifies the content: the same id with another fingerprint is refused. */
    readonly fingerprint: string;
    /** Wall clock of the proposer, milliseconds; used for retention only. */
    readonly at: number;
}
