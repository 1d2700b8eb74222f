import type { TargetRecord } from "./target-record.js";

/** A heartbeat of a target. */
export interface TargetReport {
    readonly record: TargetRecord;
    /** Rises with each report of one life. */
    readonly sequence: number;
    /** The target's steady clock when it sent the report, milliseconds. */
    readonly clockMs: number | undefined;
    /** Least time that a draining target stays, milliseconds. */
    readonly remainingMs: number | undefined;
}
