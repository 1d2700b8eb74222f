import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

/**
 * Lists the keepers.
 * @param context - the leader
 * @returns each keeper's id, address, part and lag
 */
export function handleKeeperList(context: OperatorContext): OperatorResult {
    const view = context.keeper.readView();
    const row = (id: string, address: string, part: string) => ({
        id,
        address,
        part,
        isLeader: id === view?.leader,
        lag: id === view?.id ? 0 : (view?.commitIndex ?? 0) - (view?.matchIndexes[id] ?? 0),
    });
    const { voters = {}, learners = {} } = view?.members ?? {};
    const keepers = [
        ...Object.entries(voters).map(([id, address]) => row(id, address, "voter")),
        ...Object.entries(learners).map(([id, address]) => row(id, address, "learner")),
    ];
    return { status: 200, body: { keepers } };
}
