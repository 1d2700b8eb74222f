import type { PeerFailureKind } from "./peer-failure-kind.js";

/** Describes a failed call to another process. */
export interface PeerFailure {
    readonly kind: PeerFailureKind;
    readonly address: string;
    /** Cause of the failure, for error messages. */
    readonly detail: string;
}
