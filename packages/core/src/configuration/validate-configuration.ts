import { ConfigurationFaultKind } from "./configuration-fault-kind.js";
import type { ConfigurationFault } from "./configuration-fault.js";
import type { FleetConfiguration } from "./fleet-configuration.js";

/**
 * Finds every fault of a configuration.
 * @param configuration - the configuration
 * @returns the faults; empty when it is valid
 */
export function validateConfiguration(configuration: FleetConfiguration): ConfigurationFault[] {
    return [
        ...checkVersion(configuration),
        ...checkQueues(configuration),
        ...checkNames(configuration),
        ...checkKeys(configuration),
    ];
}

function checkVersion({ version }: FleetConfiguration): ConfigurationFault[] {
    const isGood = Number.isSafeInteger(version) && version > 0;
    return isGood ? [] : [{ kind: ConfigurationFaultKind.InvalidVersion, subject: String(version) }];
}

function checkQueues({ queues, pools }: FleetConfiguration): ConfigurationFault[] {
    const faults: ConfigurationFault[] = [];
    const poolNames = new Set(pools.map(pool => pool.name));
    const places = new Set<string>();
    for (const queue of queues) {
        const place = JSON.stringify([queue.host.toLowerCase(), queue.pathPrefix]);
        if (!poolNames.has(queue.pool)) {
            faults.push({ kind: ConfigurationFaultKind.UnknownPool, subject: queue.name });
        }
        if (places.has(place)) {
            faults.push({ kind: ConfigurationFaultKind.DuplicateHostAndPrefix, subject: queue.name });
        }
        if (queue.timeoutMs <= 0) {
            faults.push({ kind: ConfigurationFaultKind.ZeroTimeout, subject: queue.name });
        }
        places.add(place);
    }
    return faults;
}

function checkNames({ queues, pools, accounts }: FleetConfiguration): ConfigurationFault[] {
    return [queues, pools, accounts].flatMap(list => {
        const names = list.map(item => item.name);
        const repeated = new Set(names.filter((name, position) => names.indexOf(name) !== position));
        return [...repeated].map(subject => ({ kind: ConfigurationFaultKind.DuplicateName, subject }));
    });
}

function checkKeys({ accounts }: FleetConfiguration): ConfigurationFault[] {
    const owners = new Map<string, string>();
    const faults: ConfigurationFault[] = [];
    for (const account of accounts) {
        for (const key of account.keys) {
            const owner = owners.get(key);
            if (owner !== undefined && owner !== account.name) {
                faults.push({ kind: ConfigurationFaultKind.DuplicateKey, subject: account.name });
            }
            owners.set(key, account.name);
        }
    }
    return faults;
}
