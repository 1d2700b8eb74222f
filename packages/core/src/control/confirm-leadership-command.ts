import type { CommandKind } from "./command-kind.js";

/** Changes nothing; its commit proves that the proposer is the leader and has applied all earlier committed commands. */
export interface ConfirmLeadershipCommand {
    readonly kind: CommandKind.ConfirmLeadership;
}
