import type { AdmissionState } from "./admission-state.js";

/**
 * Creates the admission state of an entry that has no slots yet.
 * @param zone - availability zone of the entry
 * @param maxWaiting - most requests that may wait at once
 * @returns the state
 */
export function createAdmissionState(zone: string, maxWaiting: number): AdmissionState {
    return {
        zone,
        pools: new Map(),
        targets: new Map(),
        teams: new Map(),
        shares: new Map(),
        waiting: 0,
        maxWaiting,
        nextId: 1,
    };
}
