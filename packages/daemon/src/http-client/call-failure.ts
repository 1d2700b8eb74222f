import type { CallFailureKind } from "./call-failure-kind.js";

/** An HTTP call that received no complete response. */
export interface CallFailure {
    readonly kind: CallFailureKind;
    /** Cause of the failure, for logs and error messages. */
    readonly detail: string;
    /** Whether the call timed out. A refused or reset connection shows instead that the machine is reachable. */
    readonly isTimeout: boolean;
}
