import type { AdmissionPolicy } from "./admission-policy.js";
import type { AdmissionState } from "./admission-state.js";
import { QueuePolicy } from "./queue-policy.js";
import { TargetPolicy } from "./target-policy.js";

const defaultPolicy: AdmissionPolicy = { queue: QueuePolicy.Shares, target: TargetPolicy.LeastLoaded };

/**
 * Creates the admission state of an entry that has no slots yet.
 * @param zone - availability zone of the entry
 * @param maxWaiting - maximum number of requests that may wait at once
 * @param policy - policies by which requests and targets are picked
 * @returns the admission state
 */
export function createAdmissionState(
    zone: string,
    maxWaiting: number,
    policy: AdmissionPolicy = defaultPolicy,
): AdmissionState {
    return {
        zone,
        pools: new Map(),
        targets: new Map(),
        teams: new Map(),
        shares: new Map(),
        waiting: 0,
        maxWaiting,
        nextId: 1,
        policy,
    };
}
