/**
 * Parses JSON text from an untrusted source.
 * @param text - the text
 * @returns the parsed value; `undefined` when the text is not JSON, which no schema accepts
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}
