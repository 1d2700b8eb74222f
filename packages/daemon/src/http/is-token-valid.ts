import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

/**
 * Checks the bearer token of a request. The comparison takes constant time, so that response times do not reveal how
 * much of the token matches.
 * @param request - the request
 * @param token - the expected bearer token
 * @returns true if the request carries the token
 */
export function isTokenValid(request: IncomingMessage, token: string): boolean {
    const presented = request.headers.authorization ?? "";
    return timingSafeEqual(computeDigest(presented), computeDigest(`Bearer ${token}`));
}

function computeDigest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
