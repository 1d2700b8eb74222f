import type { ControlState } from "./control-state.js";
import type { DispatchCommand } from "./dispatch-command.js";
import { DispatchOutcome } from "./dispatch-outcome.js";
import type { DispatchResult } from "./dispatch-result.js";
import { dispatchRetention } from "./dispatch-retention.js";
import { DispatchState } from "./dispatch-state.js";

/**
 * Claims an unrepeatable request for one attempt.
 * @param state - the replicated state, changed in place
 * @param command - the claim
 * @returns whether the attempt holds the request, and the record it met otherwise
 */
export function applyDispatch(state: ControlState, command: DispatchCommand): DispatchResult {
    dropExpired(state, command.at);
    const record = state.dispatches.get(command.dispatchId);
    if (record !== undefined && record.fingerprint !== command.fingerprint) {
        return { outcome: DispatchOutcome.FingerprintDiffers };
    }
    if (record?.attempt === command.attempt) {
        return { outcome: DispatchOutcome.Claimed };
    }
    if (record !== undefined && record.state !== DispatchState.NotRun) {
        return { outcome: DispatchOutcome.AlreadyClaimed, record };
    }
    if (state.dispatches.size >= dispatchRetention.maxRecords) {
        return { outcome: DispatchOutcome.Full };
    }
    state.dispatches.delete(command.dispatchId);
    state.dispatches.set(command.dispatchId, {
        attempt: command.attempt,
        fingerprint: command.fingerprint,
        state: DispatchState.Dispatched,
        at: command.at,
    });
    return { outcome: DispatchOutcome.Claimed };
}

function dropExpired(state: ControlState, now: number): void {
    for (const [id, record] of state.dispatches) {
        if (now - record.at <= dispatchRetention.keepMs) {
            return;
        }
        state.dispatches.delete(id);
    }
}
