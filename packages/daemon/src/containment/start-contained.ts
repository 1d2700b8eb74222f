import type { FaultListener } from "./fault-listener.js";
import { reportUncaught } from "./report-uncaught.js";
import { runContained } from "./run-contained.js";
import type { Work } from "./work.js";

/**
 * Starts work that nobody awaits. A fault is noted and ends only this work; a broken invariant ends the process.
 * @param noteFault - called with a fault
 * @param work - what is run, and for what
 * @param run - runs the work
 * @param recover - called after a fault; does nothing by default
 */
export function startContained(
    noteFault: FaultListener,
    work: Work,
    run: () => unknown,
    recover: () => unknown = () => undefined,
): void {
    runContained(noteFault, work, run, recover).catch(reportUncaught);
}
