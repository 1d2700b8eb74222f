import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";

import { ReadBodyFailure } from "./read-body-failure.js";
import type { RequestBody } from "./request-body.js";

/**
 * Reads a short body whole, so that a slow caller holds no slot and the body can be sent again. A long one is left to
 * be streamed.
 * @param request - the caller's request
 * @param bodyBytes - declared length; `undefined` when the body is sent in chunks
 * @param maxBytes - length up to which it is read
 * @param stallMs - milliseconds without progress that end the request
 * @returns the body
 */
export async function readBody(
    request: IncomingMessage,
    bodyBytes: number | undefined,
    maxBytes: number,
    stallMs: number,
): Promise<Result<RequestBody, ReadBodyFailure>> {
    if (bodyBytes === 0) {
        return Result.ok({ kind: "buffered", content: Buffer.alloc(0) });
    }
    if (bodyBytes === undefined || bodyBytes > maxBytes) {
        return Result.ok({ kind: "streamed", source: request });
    }
    const chunks: Buffer[] = [];
    request.setTimeout(stallMs, () => request.destroy(new ReadBodyFailure("the body made no progress")));
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
    }
    catch (error) {
        return Result.err(new ReadBodyFailure((error as Error).message));
    }
    request.setTimeout(0);
    return Result.ok({ kind: "buffered", content: Buffer.concat(chunks) });
}
