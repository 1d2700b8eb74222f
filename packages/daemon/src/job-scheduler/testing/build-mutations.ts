import fc from "fast-check";

/** A JSON value that holds others. */
type JsonNode = Record<string, unknown> | unknown[];

const longLength = 100_000;
const maxMutations = 3;

/** Values that a field may be replaced by: of another type, beyond a range, or of an odd shape. */
const oddValues: readonly unknown[] = [
    null,
    true,
    "",
    "x",
    "7",
    "__proto__",
    "constructor",
    "\ud800",
    "a\nb",
    "\u20ac\u{1f600}",
    "x".repeat(longLength),
    0,
    -1,
    0.5,
    -0.5,
    2 ** 31,
    2 ** 53,
    2 ** 64,
    1e15,
    1e300,
    -1e300,
    Infinity,
    -Infinity,
    [],
    [0],
    [null],
    {},
    JSON.parse("{\"__proto__\":{\"address\":\"127.0.0.1:1\"}}"),
    JSON.parse("[".repeat(1_000) + "]".repeat(1_000)),
    "127.0.0.9:99999",
    "127.0.0.9:65536",
    "127.0.0.9:0",
    "127.0.0.9",
    "127.0.0.999:80",
    "1.2.3:80",
    "0177.0.0.1:80",
    "[::1]:80",
    "[::1]",
    "[1::2::3]:80",
    "nowhere:80",
    "127.0.0.9:80 ",
    "http://127.0.0.9:80",
];

/**
 * Builds messages that differ from a valid one in one to three places: a field is missing, doubled, or replaced by an odd
 * value.
 * @param valid - the valid message
 * @returns the messages; numbers may be infinite, as in JSON that holds 1e400
 */
export function buildMutations(valid: unknown): fc.Arbitrary<unknown> {
    const mutation = fc.record({
        position: fc.nat(),
        isRemoved: fc.integer({ min: 0, max: 3 }).map(number => number === 0),
        value: fc.constantFrom(...oddValues),
    });
    return fc.array(mutation, { minLength: 1, maxLength: maxMutations }).map(mutations => {
        const root = { message: structuredClone(valid) };
        for (const { position, isRemoved, value } of mutations) {
            const places = listPlaces(root);
            const [node, key] = places[position % places.length] ?? [root, "message"];
            if (isRemoved && Array.isArray(node)) {
                node.splice(Number(key), 1);
            }
            else if (isRemoved && node !== root) {
                Reflect.deleteProperty(node, key);
            }
            else {
                Reflect.set(node, key, structuredClone(value));
            }
        }
        return root.message;
    });
}

/** Lists the places of all values, except for those inside an odd value that is nested deeply. */
function listPlaces(node: unknown, depth = 8): [JsonNode, string][] {
    if (typeof node !== "object" || node === null || depth === 0) {
        return [];
    }
    return Object.entries(node).flatMap(([key, value]) =>
        key === "__proto__" ? [] : [[node as JsonNode, key], ...listPlaces(value, depth - 1)] as [JsonNode, string][]
    );
}
