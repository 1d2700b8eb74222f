import type { ControlState } from "./control-state.js";
import { DispatchState } from "./dispatch-state.js";
import type { RecordOutcomeCommand } from "./record-outcome-command.js";

/**
 * Records how a claimed request ended.
 * @param state - the replicated state, changed in place
 * @param command - the outcome
 * @returns false when this attempt does not hold the claim or its outcome is recorded already
 */
export function applyRecordOutcome(state: ControlState, command: RecordOutcomeCommand): boolean {
    const record = state.dispatches.get(command.dispatchId);
    if (record?.attempt !== command.attempt || record.state !== DispatchState.Dispatched) {
        return false;
    }
    state.dispatches.set(command.dispatchId, { ...record, state: command.state, answer: command.answer });
    return true;
}
