import type { AdmissionPolicy } from "./admission-policy.js";
import type { PoolAdmission } from "./pool-admission.js";
import type { TargetSlots } from "./target-slots.js";
import type { TeamLimit } from "./team-limit.js";

/** All that one entry needs to decide which request starts where. */
export interface AdmissionState {
    readonly zone: string;
    readonly pools: Map<string, PoolAdmission>;
    readonly targets: Map<string, TargetSlots>;
    readonly teams: Map<string, TeamLimit>;
    /** Share of each team; 1 when unknown. */
    readonly shares: Map<string, number>;
    waiting: number;
    readonly maxWaiting: number;
    nextId: number;
    readonly policy: AdmissionPolicy;
}
