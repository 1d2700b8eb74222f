import type { TargetClock } from "@daisylock/core/targets/target-clock.js";
import type { ReportMark } from "./report-mark.js";
import { ReportOrder } from "./report-order.js";

/**
 * Orders two heartbeats of a target incarnation. An untrusted sender may use any number; the clock is known from the
 * target's answers and orders its heartbeats as their numbers do.
 * @param report - the heartbeat
 * @param mark - the earlier heartbeat
 * @param clock - clock of the incarnation as its answers state it; without it, the numbers decide
 * @param now - current time, monotonic milliseconds
 * @returns the order
 */
export function compareReports(
    report: ReportMark,
    mark: ReportMark,
    clock: Pick<TargetClock, "isAhead" | "isRecent"> | undefined,
    now: number,
): ReportOrder {
    const isOvertaken = report.sequence < mark.sequence;
    if (clock === undefined || report.clockMs === undefined) {
        return isOvertaken ? ReportOrder.Outdated : ReportOrder.Newest;
    }
    if (mark.clockMs === undefined || clock.isAhead(mark.clockMs, now)) {
        if (clock.isRecent(report.clockMs, now)) {
            return ReportOrder.NewestByClock;
        }
        return isOvertaken ? ReportOrder.Outdated : ReportOrder.Newest;
    }
    const isOlder = report.clockMs < mark.clockMs || (report.clockMs === mark.clockMs && isOvertaken);
    return isOlder ? ReportOrder.Outdated : ReportOrder.NewestByClock;
}
