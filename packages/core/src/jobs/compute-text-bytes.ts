/** Quotation marks around a JSON text. */
const quotesBytes = 2;

/**
 * Computes an upper bound of the memory that a text takes: in the heap, which stores a code unit in two bytes if one of
 * the text is beyond Latin-1, and as JSON in the log and in snapshots, where a code unit takes up to six.
 * @param text - the text
 * @returns the memory in bytes
 */
export function computeTextBytes(text: string): number {
    const jsonBytes = Buffer.byteLength(JSON.stringify(text));
    return jsonBytes > text.length + quotesBytes ? Math.max(jsonBytes, 2 * text.length) : jsonBytes;
}
