import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

/**
 * Tells whether a request carries a token, in a time that does not depend on how much of it is right.
 * @param request - the request
 * @param token - the token expected as bearer
 * @returns true when it does
 */
export function isTokenValid(request: IncomingMessage, token: string): boolean {
    const presented = request.headers.authorization ?? "";
    return timingSafeEqual(computeDigest(presented), computeDigest(`Bearer ${token}`));
}

function computeDigest(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}
