const infinityMark = "\"infinity\"";

/**
 * Encodes a value whose numbers may be infinite. They are written as numbers that are too large for a double.
 * @param value - the value
 * @returns the JSON text
 */
export function encodeOddJson(value: unknown): string {
    const text = JSON.stringify(
        value,
        (_, field: unknown) => field === Infinity ? "infinity" : field === -Infinity ? "-infinity" : field,
    ) ?? "";
    return text.replaceAll(infinityMark, "1e400").replaceAll("\"-infinity\"", "-1e400");
}
