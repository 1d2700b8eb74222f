import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";

import { takeArrayElements } from "./take-array-elements.js";

const seed = 59;
const path = ["fleet", "jobs"];
const json = fc.jsonValue({ stringUnit: "grapheme", maxDepth: 4 });

function cutAnywhere(text: string, cuts: readonly number[]): Uint8Array[] {
    const bytes = Buffer.from(text);
    const positions = [0, ...cuts.map(cut => cut % (bytes.length + 1)).sort((a, b) => a - b), bytes.length];
    return positions.slice(1).map((end, position) => bytes.subarray(positions[position], end));
}

describe("an array that is read from the parts of a JSON text", () => {
    it("is taken out element by element, whatever the text holds and wherever it is cut", () => {
        const others = fc.dictionary(fc.string(), json);
        fc.assert(
            fc.property(
                fc.array(json),
                others,
                others,
                fc.array(fc.nat()),
                fc.boolean(),
                (jobs, root, fleet, cuts, isSpaced) => {
                    const document = { ...root, fleet: { ...fleet, jobs }, jobs: [["fleet", { jobs: [1] }]] };
                    const text = JSON.stringify(document, undefined, isSpaced ? 1 : 0);
                    const elements: unknown[] = [];
                    const remainder = takeArrayElements(
                        cutAnywhere(text, cuts),
                        path,
                        element => elements.push(JSON.parse(element)),
                    );
                    const parsed = JSON.parse(text) as typeof document;
                    expect(elements).toEqual(parsed.fleet.jobs);
                    expect(JSON.parse(remainder)).toEqual({ ...parsed, fleet: { ...parsed.fleet, jobs: [] } });
                },
            ),
            { numRuns: 500, seed, endOnFailure: true },
        );
    });

    it("may be missing", () => {
        const text = JSON.stringify({ fleet: { targets: ["jobs", [1, 2]] }, jobs: [3] });
        expect(takeArrayElements([Buffer.from(text)], path, () => expect(true).toBe(false))).toBe(text);
    });
});
