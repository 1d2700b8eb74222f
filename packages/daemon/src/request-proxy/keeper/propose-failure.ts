import type { ProposeFailureKind } from "./propose-failure-kind.js";

/** A command that was not confirmed as committed. */
export interface ProposeFailure {
    readonly kind: ProposeFailureKind;
    /** Peer address of the leader, when known. */
    readonly leaderAddress?: string | undefined;
}
