import type { CommandKind } from "./command-kind.js";
import type { TeamGrant } from "./team-grant.js";

/** Sets grants of teams' upper limits. A grant of 0 removes the holder. */
export interface SetGrantsCommand {
    readonly kind: CommandKind.SetGrants;
    readonly grants: readonly TeamGrant[];
}
