import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import { VmState } from "../vms/vm-state.js";
import type { VmView } from "../vms/vm-view.js";
import { TargetEnding } from "./target-ending.js";

/**
 * Finds out from the state of its VM how a target incarnation has ended.
 * @param target - the target incarnation
 * @param view - its VM; `undefined` when it is not listed, "unknown" while there is no list that is recent enough
 * @returns how it has ended; `undefined` when it has not, or that is not known
 */
export function findTargetEnding(
    { id, pool }: Pick<TargetRecord, "id" | "pool">,
    view: VmView | undefined | "unknown",
): TargetEnding | undefined {
    if (view === "unknown") {
        return undefined;
    }
    if (view === undefined) {
        return TargetEnding.VmTaken;
    }
    if (view.state !== VmState.Down && view.target === id) {
        return undefined;
    }
    const isInPool = view.pool === pool && (view.state === VmState.Down || view.state === VmState.Up);
    return isInPool ? TargetEnding.Stopped : TargetEnding.VmTaken;
}
