import type { FaultListener } from "../../containment/fault-listener.js";
import { describeError } from "../../process-failure/describe-error.js";
import { DecisionKind } from "./decision-kind.js";
import type { DecisionLog } from "./decision-log.js";

/**
 * Creates the listener that logs faults of contained work; the metrics count them by their line.
 * @param log - decision log
 * @returns the listener
 */
export function createFaultListener(log: Pick<DecisionLog, "record">): FaultListener {
    return ({ work, subject, error }) =>
        log.record(DecisionKind.WorkFailed, { work, subject, ...describeError(error) });
}
