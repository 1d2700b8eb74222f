import type { FleetConfiguration } from "./fleet-configuration.js";
import type { QueueConfiguration } from "./queue-configuration.js";
import { readConfigurationIndex } from "./read-configuration-index.js";

/**
 * Finds the queue of a request: among the queues of its host, the one with the longest matching path prefix.
 * @param configuration - the active configuration
 * @param host - host of the request, without a port; compared without regard to case
 * @param path - path of the request, without a query
 * @returns the queue, or `undefined` when none matches
 */
export function findQueue(
    configuration: FleetConfiguration,
    host: string,
    path: string,
): QueueConfiguration | undefined {
    const sameHost = readConfigurationIndex(configuration).queuesByHost.get(host.toLowerCase());
    return sameHost?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
}
