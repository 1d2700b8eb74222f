/** Rejects invalid UTF-8 instead of substituting replacement characters, which would change what the sender meant. */
const decoder = new TextDecoder("utf-8", { fatal: true });

/**
 * Decodes a JSON text.
 * @param bytes - the text as UTF-8
 * @returns the value
 * @throws TypeError if the bytes are no valid UTF-8, SyntaxError if the text is no JSON
 */
export function decodeJson(bytes: Uint8Array): unknown {
    return JSON.parse(decoder.decode(bytes));
}
