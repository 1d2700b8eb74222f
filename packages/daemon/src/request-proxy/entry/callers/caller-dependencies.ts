import type { RetryBudget } from "@daisylock/core/retries/retry-budget.js";

import type { Clock } from "../../../clock/clock.js";
import type { FaultListener } from "../../../containment/fault-listener.js";
import type { EventLog } from "../../../events/event-log.js";
import type { Metrics } from "../../../metrics/metrics.js";
import type { AdmissionController } from "../admission/admission-controller.js";
import type { EntryState } from "../entry-state.js";
import type { AbandonedRequests } from "../forwarding/abandoned-requests.js";
import type { HalfOpenConnectionDetector } from "../forwarding/half-open-connection-detector.js";
import type { TargetConnections } from "../forwarding/target-connections.js";
import type { DispatchRecorder } from "./dispatch-recorder.js";

/** Components of the entry that the handling of callers' requests depends on. */
export interface CallerDependencies {
    readonly state: EntryState;
    readonly admissionController: AdmissionController;
    readonly abandonedRequests: AbandonedRequests;
    readonly halfOpenDetector: HalfOpenConnectionDetector;
    readonly connections: TargetConnections;
    readonly dispatchRecorder: DispatchRecorder;
    readonly retryBudget: RetryBudget;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
    /** Called with each fault of a request. */
    readonly noteFault: FaultListener;
}
