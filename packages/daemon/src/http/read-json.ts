import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";

import { BodyFault } from "./body-fault.js";
import { readBytes } from "./read-bytes.js";

/** Refuses bytes that are not UTF-8 instead of replacing them. */
const decoder = new TextDecoder("utf-8", { fatal: true });

/**
 * Reads a JSON body.
 * @param request - the request
 * @param maxBytes - largest body
 * @returns the content, or what is wrong with it
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
