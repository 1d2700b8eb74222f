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
export function isUnderCap(state: FleetState, account: string, total: Resources): boolean {
    const cap = state.configuration?.accounts.find(({ name }) => name === account)?.cap ?? noResources;
    return isBelow(total.cpu, cap.cpu) && isBelow(total.memory, cap.memory) && isBelow(total.gpu, cap.gpu);
}

function isBelow(amount: number, limit: number): boolean {
    return limit === 0 || amount <= limit;
}
