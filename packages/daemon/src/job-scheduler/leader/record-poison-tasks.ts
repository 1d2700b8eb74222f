import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";

/**
 * Logs the tasks that are given up because targets crash under them.
 * @param log - decision log
 * @param tasks - encoded task keys
 * @param target - the target that has crashed last
 */
export function recordPoisonTasks(log: Pick<DecisionLog, "record">, tasks: readonly string[], target: string): void {
    for (const task of tasks) {
        log.record(DecisionKind.TaskGivenUp, { task, target, reason: "it crashes the targets that start it" });
    }
}
