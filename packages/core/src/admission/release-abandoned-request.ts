import type { AdmissionState } from "./admission-state.js";
import type { Dispatch } from "./dispatch.js";

/**
 * Releases the slot and the unit of the upper limit of an abandoned request, once its target no longer runs it.
 * @param state - the entry's admission state
 * @param dispatch - the abandoned request
 */
export function releaseAbandonedRequest(state: AdmissionState, dispatch: Dispatch): void {
    dispatch.target.inUse -= 1;
    const limit = state.teams.get(dispatch.request.team);
    if (limit !== undefined) {
        limit.inUse -= 1;
    }
}
