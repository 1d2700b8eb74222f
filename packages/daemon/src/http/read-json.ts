import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";

import { BodyFault } from "./body-fault.js";

/**
 * Reads a JSON body.
 * @param request - the request
 * @param maxBytes - largest body
 * @returns the content, or what is wrong with it
 */
export async function readJson(request: IncomingMessage, maxBytes: number): Promise<Result<unknown, BodyFault>> {
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
        return Result.ok(JSON.parse(Buffer.concat(chunks).toString()) as unknown);
    }
    catch (error) {
        return Result.err(error instanceof SyntaxError ? BodyFault.NotJson : BodyFault.Incomplete);
    }
}
