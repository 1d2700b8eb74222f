import type { TargetRecord } from "./target-record.js";

/** A heartbeat of a target. */
export interface TargetReport {
    readonly record: TargetRecord;
    /** Increases with each report of one incarnation. */
    readonly sequence: number;
    /** Monotonic clock of the target when it sent the report, milliseconds; `undefined` when it reports none. */
    readonly clockMs: number | undefined;
    /** Minimum time for which a draining target keeps running, milliseconds; `undefined` when it reports none. */
    readonly remainingMs: number | undefined;
}
