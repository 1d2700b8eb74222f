import { ClaimOutcome } from "./claim-outcome.js";
import type { ClaimResult } from "./claim-result.js";
import type { ControlState } from "./control-state.js";
import { dispatchRetention } from "./dispatch-retention.js";
import { DispatchState } from "./dispatch-state.js";
import type { RecordDispatchCommand } from "./record-dispatch-command.js";

/**
 * Claims an unrepeatable request for one attempt, so that no other attempt dispatches it.
 * @param state - the replicated state, changed in place
 * @param command - the claim
 * @returns whether the attempt may dispatch the request; with the existing record if another attempt claimed it
 */
export function applyRecordDispatch(state: ControlState, command: RecordDispatchCommand): ClaimResult {
    dropExpired(state, command.at);
    const record = state.dispatches.get(command.dispatchId);
    if (record !== undefined && record.fingerprint !== command.fingerprint) {
        return { outcome: ClaimOutcome.FingerprintDiffers };
    }
    if (record?.attempt === command.attempt) {
        return { outcome: ClaimOutcome.Claimed };
    }
    if (record !== undefined && record.state !== DispatchState.NotRun) {
        return { outcome: ClaimOutcome.AlreadyClaimed, record };
    }
    if (state.dispatches.size >= dispatchRetention.maxRecords) {
        return { outcome: ClaimOutcome.Full };
    }
    // Deleted first, so that the new claim moves to the end of the map, which is ordered by claim.
    state.dispatches.delete(command.dispatchId);
    state.dispatches.set(command.dispatchId, {
        attempt: command.attempt,
        fingerprint: command.fingerprint,
        state: DispatchState.Dispatched,
        at: command.at,
    });
    return { outcome: ClaimOutcome.Claimed };
}

/** Deletes expired records, from the oldest up to the first one that has not expired. */
function dropExpired(state: ControlState, now: number): void {
    for (const [id, record] of state.dispatches) {
        if (now - record.at <= dispatchRetention.retentionMs) {
            return;
        }
        state.dispatches.delete(id);
    }
}
