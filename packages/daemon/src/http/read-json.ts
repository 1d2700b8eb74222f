import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";

import { BodyFault } from "./body-fault.js";
import { decodeJson } from "./decode-json.js";
import { readBytes } from "./read-bytes.js";

/**
 * Reads and parses the JSON body of a request.
 * @param request - the request
 * @param maxBytes - maximum body size
 * @returns the parsed content, or why the body could not be read
 */
export async function readJson(request: IncomingMessage, maxBytes: number): Promise<Result<unknown, BodyFault>> {
    const bytes = await readBytes(request, maxBytes);
    return bytes.andThen(parseBytes);
}

function parseBytes(bytes: Buffer): Result<unknown, BodyFault> {
    try {
        return Result.ok(decodeJson(bytes));
    }
    catch {
        return Result.err(BodyFault.NotJson);
    }
}
