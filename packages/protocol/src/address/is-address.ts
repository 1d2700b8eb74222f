import { isIPv4, isIPv6 } from "node:net";

const addressPattern = /^(?:([0-9.]+)|\[([0-9a-f:]+)\]):([1-9]\d{0,4})$/i;
const maxPort = 65_535;

/**
 * Tells whether a text is a network address that can be dialed or listened on.
 * @param text - the text
 * @returns true for an IPv4 address, or an IPv6 address in brackets, followed by a colon and a port from 1 to 65535
 */
export function isAddress(text: string): boolean {
    const [, ipv4 = "", ipv6 = "", port] = addressPattern.exec(text) ?? [];
    return Number(port) <= maxPort && (isIPv4(ipv4) || isIPv6(ipv6));
}
