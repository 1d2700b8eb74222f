import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";

import { BodyFault } from "./body-fault.js";

/**
 * Reads a body.
 * @param request - the request
 * @param maxBytes - largest body
 * @returns the bytes, or why they are not whole
 */
export async function readBytes(request: IncomingMessage, maxBytes: number): Promise<Result<Buffer, BodyFault>> {
    const chunks: Buffer[] = [];
    let bytes = 0;
    try {
        for await (const chunk of request) {
            bytes += (chunk as Buffer).length;
            if (bytes > maxBytes) {
                return Result.err(BodyFault.TooLarge);
            }
            chunks.push(chunk as Buffer);
        }
        return request.complete ? Result.ok(Buffer.concat(chunks)) : Result.err(BodyFault.Incomplete);
    }
    catch {
        // The caller went away in the middle; there is nobody left to tell.
        return Result.err(BodyFault.Incomplete);
    }
}
