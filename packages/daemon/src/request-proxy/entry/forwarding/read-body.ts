import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";

import { ReadBodyFailure } from "./read-body-failure.js";
import type { RequestBody } from "./request-body.js";

/**
 * Buffers a short body before the request waits for a slot, so that a slow caller occupies no slot and the body can be
 * resent on a retry. A long or chunked body is streamed instead.
 * @param request - the caller's request
 * @param bodyBytes - declared length; `undefined` for a chunked body
 * @param maxBytes - maximum length that is buffered
 * @param stallMs - time without progress after which the request is aborted, milliseconds
 * @returns the body, or why it was not received
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
    request.setTimeout(
        stallMs,
        () => request.destroy(new ReadBodyFailure("request body stalled: no data received within the time limit")),
    );
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
