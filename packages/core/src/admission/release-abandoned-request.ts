import type { AdmissionState } from "./admission-state.js";
import type { Dispatch } from "./dispatch.js";

/**
 * Frees what a given-up request held, once its target is known not to run it any more.
 * @param state - the entry
 * @param dispatch - the given-up request
 */
export function releaseAbandonedRequest(state: AdmissionState, dispatch: Dispatch): void {
    dispatch.target.inUse -= 1;
    const limit = state.teams.get(dispatch.request.team);
    if (limit !== undefined) {
        limit.inUse -= 1;
    }
}
