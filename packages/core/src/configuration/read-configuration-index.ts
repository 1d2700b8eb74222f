import type { ConfigurationIndex } from "./configuration-index.js";
import type { FleetConfiguration } from "./fleet-configuration.js";
import type { QueueConfiguration } from "./queue-configuration.js";

/** Indexes of the configurations that are in use; a configuration never changes. */
const indexes = new WeakMap<FleetConfiguration, ConfigurationIndex>();

/**
 * Reads the index of a configuration, which is built once: calls and scheduling rounds must not go through all its
 * queues and accounts.
 * @param configuration - the configuration
 * @returns its index; of several parts with one name or key it holds the first
 */
export function readConfigurationIndex(configuration: FleetConfiguration): ConfigurationIndex {
    const existing = indexes.get(configuration);
    if (existing !== undefined) {
        return existing;
    }
    const { queues, accounts } = configuration;
    const index = {
        queuesByName: buildMap(queues, ({ name }) => [name]),
        queuesByHost: collectByHost(queues),
        accountsByName: buildMap(accounts, ({ name }) => [name]),
        accountsByKey: buildMap(accounts, ({ keys }) => keys),
    };
    indexes.set(configuration, index);
    return index;
}

function buildMap<Value>(
    values: readonly Value[],
    readKeys: (value: Value) => readonly string[],
): ReadonlyMap<string, Value> {
    const map = new Map<string, Value>();
    for (const value of values) {
        for (const key of readKeys(value)) {
            if (!map.has(key)) {
                map.set(key, value);
            }
        }
    }
    return map;
}

function collectByHost(queues: readonly QueueConfiguration[]): ReadonlyMap<string, readonly QueueConfiguration[]> {
    const byHost = new Map<string, QueueConfiguration[]>();
    for (const queue of queues) {
        const host = queue.host.toLowerCase();
        const sameHost = byHost.get(host) ?? [];
        sameHost.push(queue);
        byHost.set(host, sameHost);
    }
    byHost.forEach(sameHost => sameHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
    return byHost;
}
