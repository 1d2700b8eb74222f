import { readConfigurationIndex } from "../configuration/read-configuration-index.js";
import type { Resources } from "../resources/resources.js";
import { zeroResources } from "../resources/zero-resources.js";
import type { FleetState } from "./fleet-state.js";

/**
 * Tells whether a total amount of resources is within the limits of a client account.
 * @param state - the fleet state
 * @param account - name of the account; empty for a public queue
 * @param total - resources of the account's tasks that may be running and of those to start
 * @returns false when a limit of the account would be exceeded; true for an unknown account
 */
export function isWithinAccountCap(state: FleetState, account: string, total: Resources): boolean {
    const { configuration } = state;
    const accounts = configuration === undefined ? undefined : readConfigurationIndex(configuration).accountsByName;
    const cap = accounts?.get(account)?.cap ?? zeroResources;
    return isWithinLimit(total.cpu, cap.cpu) && isWithinLimit(total.memory, cap.memory)
        && isWithinLimit(total.gpu, cap.gpu);
}

function isWithinLimit(amount: number, limit: number): boolean {
    return limit === 0 || amount <= limit;
}
