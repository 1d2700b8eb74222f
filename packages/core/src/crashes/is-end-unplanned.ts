import type { FleetState } from "../fleet/fleet-state.js";
import { ReportedTargetState } from "../targets/reported-target-state.js";
import type { TargetRecord } from "../targets/target-record.js";

/**
 * Tells whether the end of a target incarnation was announced neither by the target nor by a request for its VM.
 * @param fleet - the fleet state
 * @param target - the target incarnation that has ended
 * @returns false when it was draining, or its VM was to be moved or maintained since the incarnation started
 */
export function isEndUnplanned(fleet: FleetState, target: TargetRecord): boolean {
    const request = fleet.vmOrders.get(target.vm);
    const isVmRequested = request !== undefined && request.atMs > target.incarnation;
    return target.state !== ReportedTargetState.Draining && !isVmRequested;
}
