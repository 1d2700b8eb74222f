import type { Account } from "./account.js";
import type { PoolConfiguration } from "./pool-configuration.js";
import type { QueueConfiguration } from "./queue-configuration.js";

/** Everything that operators set, under one version. The highest version is in force. */
export interface FleetConfiguration {
    readonly version: number;
    readonly queues: readonly QueueConfiguration[];
    readonly pools: readonly PoolConfiguration[];
    readonly accounts: readonly Account[];
    /** The document as the operator sent it, which is what operators read back. */
    readonly source: string;
}
