import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";

import { BodyFault } from "./body-fault.js";

/**
 * Reads the whole body of a request.
 * @param request - the request
 * @param maxBytes - maximum body size
 * @returns the body, or why it could not be read completely
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
        // The client disconnected before the end of the body, so no response can reach it.
        return Result.err(BodyFault.Incomplete);
    }
}
