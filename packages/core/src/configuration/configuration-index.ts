import type { Account } from "./account.js";
import type { QueueConfiguration } from "./queue-configuration.js";

/** A configuration by the names under which its parts are looked up. */
export interface ConfigurationIndex {
    readonly queuesByName: ReadonlyMap<string, QueueConfiguration>;
    /** By host in lower case; the longest path prefix first. */
    readonly queuesByHost: ReadonlyMap<string, readonly QueueConfiguration[]>;
    readonly accountsByName: ReadonlyMap<string, Account>;
    readonly accountsByKey: ReadonlyMap<string, Account>;
}
