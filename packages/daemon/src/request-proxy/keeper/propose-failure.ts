import type { ProposeFailureKind } from "./propose-failure-kind.js";

/** Failure to confirm a command as committed. */
export interface ProposeFailure {
    readonly kind: ProposeFailureKind;
    /** Peer address of the leader; `undefined` when it is not known. */
    readonly leaderAddress?: string | undefined;
}
