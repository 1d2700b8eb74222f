import type { FleetConfiguration } from "./fleet-configuration.js";
import type { QueueConfiguration } from "./queue-configuration.js";

/**
 * Finds the queue of a request: the one of its host with the longest prefix that its path begins with.
 * @param configuration - the configuration in force
 * @param host - host that the caller named, without a port
 * @param path - path of the request, without a query
 * @returns the queue, or `undefined` when there is none
 */
export function findQueue(
    configuration: FleetConfiguration,
    host: string,
    path: string,
): QueueConfiguration | undefined {
    const wanted = host.toLowerCase();
    let best: QueueConfiguration | undefined;
    for (const queue of configuration.queues) {
        const isMatch = queue.host.toLowerCase() === wanted && path.startsWith(queue.pathPrefix);
        if (isMatch && (best === undefined || queue.pathPrefix.length > best.pathPrefix.length)) {
            best = queue;
        }
    }
    return best;
}
