import { isIP } from "node:net";

import { parseAddress } from "./parse-address.js";

const maxPort = 65_535;

/**
 * Splits the address of a server that is to be called, which may come from outside or from a disk.
 * @param address - IP address and port separated by a colon, with brackets around an IPv6 address
 * @returns host and port; `undefined` for an address that no request can be sent to
 */
export function parseCallableAddress(address: string): ReturnType<typeof parseAddress> | undefined {
    const { host, port } = parseAddress(address);
    const isCallable = isIP(host) !== 0 && /:\d+$/.test(address) && port > 0 && port <= maxPort;
    return isCallable ? { host, port } : undefined;
}
