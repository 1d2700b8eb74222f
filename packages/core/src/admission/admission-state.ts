import type { AdmissionPolicy } from "./admission-policy.js";
import type { PoolAdmission } from "./pool-admission.js";
import type { TargetSlots } from "./target-slots.js";
import type { TeamLimit } from "./team-limit.js";

/** The state from which an entry schedules requests: queues, slots on targets and portions of the teams' limits. */
export interface AdmissionState {
    /** Availability zone of the entry. */
    readonly zone: string;
    /** Queues by pool. */
    readonly pools: Map<string, PoolAdmission>;
    /** Targets by VM. */
    readonly targets: Map<string, TargetSlots>;
    /** Portions of the upper limits by team. */
    readonly teams: Map<string, TeamLimit>;
    /** Share by team; a team that is missing has share 1. */
    readonly shares: Map<string, number>;
    /** Number of waiting requests in all queues. */
    waiting: number;
    /** Maximum number of waiting requests. */
    readonly maxWaiting: number;
    /** Id of the next request to be queued. */
    nextId: number;
    readonly policy: AdmissionPolicy;
}
