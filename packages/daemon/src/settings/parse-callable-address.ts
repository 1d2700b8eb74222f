import { isAddress } from "@daisylock/protocol/address/is-address.js";

import { parseAddress } from "./parse-address.js";

/**
 * Splits the address of a server that is to be called, which may come from outside or from a disk.
 * @param address - IP address and port separated by a colon, with brackets around an IPv6 address
 * @returns host and port; `undefined` for an address that no request can be sent to
 */
export function parseCallableAddress(address: string): ReturnType<typeof parseAddress> | undefined {
    return isAddress(address) ? parseAddress(address) : undefined;
}
