/** Host and port of a network address. An IPv6 host has no brackets. */
interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/**
 * Splits a network address into host and port.
 * @param address - IP address and port separated by a colon, with brackets around an IPv6 address
 * @returns the host without brackets, and the port
 */
export function parseAddress(address: string): HostAndPort {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
    return { host, port: Number(address.slice(separator + 1)) };
}
