import { noResources } from "../resources/no-resources.js";
import type { Resources } from "../resources/resources.js";
import type { FleetState } from "./fleet-state.js";

/**
 * Tells whether a client account may have a given amount running. What may be running counts as running.
 * @param state - the fleet state
 * @param account - name of the account; empty for none
 * @param total - the amount, with what is to be started
 * @returns false when a limit of the account would be exceeded
 */
export function isWithinAccountCap(state: FleetState, account: string, total: Resources): boolean {
    const cap = state.configuration?.accounts.find(({ name }) => name === account)?.cap ?? noResources;
    return isWithinLimit(total.cpu, cap.cpu) && isWithinLimit(total.memory, cap.memory)
        && isWithinLimit(total.gpu, cap.gpu);
}

function isWithinLimit(amount: number, limit: number): boolean {
    return limit === 0 || amount <= limit;
}
