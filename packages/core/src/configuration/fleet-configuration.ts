import type { Account } from "./account.js";
import type { PoolRule } from "./pool-rule.js";
import type { QueueRule } from "./queue-rule.js";

/** Everything that operators set, under one version. The highest version is in force. */
export interface FleetConfiguration {
    readonly version: number;
    readonly queues: readonly QueueRule[];
    readonly pools: readonly PoolRule[];
    readonly accounts: readonly Account[];
    /** The document as the operator sent it, which is what operators read back. */
    readonly source: string;
}
