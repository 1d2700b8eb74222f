import { parseAddress } from "../../settings/parse-address.js";

/**
 * Builds the address of another listener on the same host.
 * @param address - any address of the host
 * @param port - port of the listener
 * @returns its address
 */
export function buildListenerAddress(address: string, port: number): string {
    return `${parseAddress(address).host}:${port}`;
}
