import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Lists the keepers.
 * @param context - components of the leader
 * @returns id, address, membership (voter or learner) and lag in log entries of each keeper
 */
export function handleKeeperList(context: OperatorContext): OperatorResult {
    const view = context.keeper.readView();
    const describeKeeper = (id: string, address: string, membership: string) => ({
        id,
        address,
        part: membership,
        isLeader: id === view?.leader,
        lag: id === view?.id ? 0 : (view?.commitIndex ?? 0) - (view?.matchIndexes[id] ?? 0),
    });
    const { voters = {}, learners = {} } = view?.members ?? {};
    const keepers = [
        ...Object.entries(voters).map(([id, address]) => describeKeeper(id, address, "voter")),
        ...Object.entries(learners).map(([id, address]) => describeKeeper(id, address, "learner")),
    ];
    return { status: 200, body: { keepers } };
}
