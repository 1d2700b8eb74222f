import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";

import { BodyFault } from "./body-fault.js";
import { readBytes } from "./read-bytes.js";

/** Rejects invalid UTF-8 instead of substituting replacement characters. */
const decoder = new TextDecoder("utf-8", { fatal: true });

/**
 * Reads and parses the JSON body of a request.
 * @param request - the request
 * @param maxBytes - maximum body size
 * @returns the parsed content, or why the body could not be read
 */
export async function readJson(request: IncomingMessage, maxBytes: number): Promise<Result<unknown, BodyFault>> {
    const bytes = await readBytes(request, maxBytes);
    return bytes.andThen(decodeJson);
}

function decodeJson(bytes: Buffer): Result<unknown, BodyFault> {
    try {
        return Result.ok(JSON.parse(decoder.decode(bytes)) as unknown);
    }
    catch {
        return Result.err(BodyFault.NotJson);
    }
}
