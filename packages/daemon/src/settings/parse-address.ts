/** Host and port of a listener. */
interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/**
 * Splits an address.
 * @param address - IP number and port, with brackets around IPv6
 * @returns its parts
 */
export function parseAddress(address: string): HostAndPort {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
    return { host, port: Number(address.slice(separator + 1)) };
}
