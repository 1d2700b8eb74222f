/**
 * Parses JSON text from outside.
 * @param text - the text
 * @returns the content; `undefined` when it is not JSON, which no schema accepts
 */
export function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}
