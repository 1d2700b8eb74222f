import type { CommandKind } from "./command-kind.js";

/** Changes nothing; its commit proves that the proposer leads and has applied all that was committed before. */
export interface ConfirmLeadershipCommand {
    readonly kind: CommandKind.ConfirmLeadership;
}
