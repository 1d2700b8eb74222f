import type { QueuePolicy } from "./queue-policy.js";
import type { TargetPolicy } from "./target-policy.js";

/** Policies by which an entry picks the next request and its target. */
export interface AdmissionPolicy {
    readonly queue: QueuePolicy;
    readonly target: TargetPolicy;
}
