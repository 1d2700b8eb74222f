import type { TargetRecord } from "./target-record.js";

/** Targets by id, with a version by which whoever derives something from them sees that none has changed. */
export interface TargetTable extends Map<string, TargetRecord> {
    /** Reads the version, which increases with each change. It is not stored, so that it differs between replicas. */
    readonly readVersion: () => number;
}
