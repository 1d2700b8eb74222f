import type { CommandKind } from "./command-kind.js";

/** Claims an unrepeatable request before its first byte is sent to a target. */
export interface RecordDispatchCommand {
    readonly kind: CommandKind.RecordDispatch;
    /** Team, route and request id, separated by slashes. */
    readonly dispatchId: string;
    /** Unique per claim, so that a duplicate of the same claim is recognized. */
    readonly attempt: string;
    /**
     * Digest of method, path and body; of a streamed body, only the size. The same id with a different fingerprint is
     * refused.
     */
    readonly fingerprint: string;
    /** Wall clock of the proposer, milliseconds; used for retention only. */
    readonly at: number;
}
