import { ConfigurationFaultKind } from "./configuration-fault-kind.js";
import type { ConfigurationFault } from "./configuration-fault.js";
import type { FleetConfiguration } from "./fleet-configuration.js";

/**
 * Validates a configuration and collects all errors.
 * @param configuration - the configuration
 * @returns the validation errors; empty when the configuration is valid
 */
export function validateConfiguration(configuration: FleetConfiguration): ConfigurationFault[] {
    return [
        ...checkVersion(configuration),
        ...checkQueues(configuration),
        ...checkNames(configuration),
        ...checkKeys(configuration),
        ...checkNumbers(configuration),
    ];
}

function checkVersion({ version }: FleetConfiguration): ConfigurationFault[] {
    const isValid = Number.isSafeInteger(version) && version > 0;
    return isValid ? [] : [{ kind: ConfigurationFaultKind.InvalidVersion, subject: String(version) }];
}

function checkQueues({ queues, pools }: FleetConfiguration): ConfigurationFault[] {
    const errors: ConfigurationFault[] = [];
    const poolNames = new Set(pools.map(pool => pool.name));
    const routes = new Set<string>();
    for (const queue of queues) {
        const route = JSON.stringify([queue.host.toLowerCase(), queue.pathPrefix]);
        if (!poolNames.has(queue.pool)) {
            errors.push({ kind: ConfigurationFaultKind.UnknownPool, subject: queue.name });
        }
        if (routes.has(route)) {
            errors.push({ kind: ConfigurationFaultKind.DuplicateHostAndPrefix, subject: queue.name });
        }
        if (queue.timeoutMs <= 0) {
            errors.push({ kind: ConfigurationFaultKind.ZeroTimeout, subject: queue.name });
        }
        routes.add(route);
    }
    return errors;
}

function checkNumbers({ queues, accounts }: FleetConfiguration): ConfigurationFault[] {
    const outOfRange = [
        ...queues.filter(({ priority, maxAttempts, objectiveMs, timeoutMs, stretch, advice }) =>
            ![priority, maxAttempts, objectiveMs, timeoutMs].every(isCount)
            || ![stretch, ...Object.values(advice ?? {}) as number[]].every(isAmount)
        ),
        ...accounts.filter(({ weight, cap }) => !isAmount(weight) || ![cap.cpu, cap.memory, cap.gpu].every(isCount)),
    ];
    return outOfRange.map(({ name }) => ({ kind: ConfigurationFaultKind.NumberOutOfRange, subject: name }));
}

function isCount(value: number): boolean {
    return Number.isSafeInteger(value) && value >= 0;
}

function isAmount(value: number): boolean {
    return Number.isFinite(value) && value >= 0;
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
    const errors: ConfigurationFault[] = [];
    for (const account of accounts) {
        for (const key of account.keys) {
            const owner = owners.get(key);
            if (owner !== undefined && owner !== account.name) {
                errors.push({ kind: ConfigurationFaultKind.DuplicateKey, subject: account.name });
            }
            owners.set(key, account.name);
        }
    }
    return errors;
}
