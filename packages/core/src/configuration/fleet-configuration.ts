import type { Account } from "./account.js";
import type { PoolConfiguration } from "./pool-configuration.js";
import type { QueueConfiguration } from "./queue-configuration.js";

/** The complete configuration that operators set, under one version. The highest version is active. */
export interface FleetConfiguration {
    readonly version: number;
    readonly queues: readonly QueueConfiguration[];
    readonly pools: readonly PoolConfiguration[];
    readonly accounts: readonly Account[];
    /** The document as the operator sent it, returned unchanged when operators read the configuration. */
    readonly source: string;
}
