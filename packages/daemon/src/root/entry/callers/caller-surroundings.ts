import type { RetryBudget } from "@daisylock/core/retries/retry-budget.js";

import type { Clock } from "../../../clock/clock.js";
import type { EventLog } from "../../../events/event-log.js";
import type { Metrics } from "../../../metrics/metrics.js";
import type { AdmissionDesk } from "../admission/admission-desk.js";
import type { EntryState } from "../entry-state.js";
import type { AbandonedBook } from "../forwarding/abandoned-book.js";
import type { AttemptWatch } from "../forwarding/attempt-watch.js";
import type { TargetConnections } from "../forwarding/target-connections.js";
import type { DispatchRecorder } from "./dispatch-recorder.js";

/** What serving callers needs of the entry. */
export interface CallerSurroundings {
    readonly state: EntryState;
    readonly desk: AdmissionDesk;
    readonly abandoned: AbandonedBook;
    readonly watch: AttemptWatch;
    readonly connections: TargetConnections;
    readonly recorder: DispatchRecorder;
    readonly retries: RetryBudget;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
}
