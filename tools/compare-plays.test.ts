import { describe, expect, it } from "@jest/globals";

import { comparePlays, parseRegressionSet } from "./compare-plays.js";

const page = `## Measurements
### Regression set
| site | day | worth | served | entry |
| --- | --- | --- | --- | --- |
| sites/a.toml | quiet-1 | 0.700 | 0.990 | 1234 |
| sites/a.toml | trouble-1 | -0.100 | 0.500 | 1234 |
### Something else
| sites/b.toml | quiet-1 | 0.100 | 0.100 | 9 |
`;
const rows = parseRegressionSet(page);
const good = { name: "quiet-1", G: 0.68, served: 0.98, gate: true, rules: {} };
const other = { name: "trouble-1", G: -0.1, served: 0.5, gate: true, rules: {} };

describe("the comparison of plays with the committed ones", () => {
    it("reads the rows of its section only", () => {
        expect(rows.map(({ day, worth }) => [day, worth])).toEqual([["quiet-1", 0.7], ["trouble-1", -0.1]]);
    });

    it("finds no fault within noise", () => {
        const { lines, faults } = comparePlays(rows, [good, other]);
        expect([lines.length, faults]).toEqual([2, []]);
    });

    it("finds a day that fell, a failed gate, a broken rule and a day that was not played", () => {
        expect(comparePlays(rows, [{ ...good, G: 0.66 }, other]).faults).toHaveLength(1);
        expect(comparePlays(rows, [{ ...good, gate: false }, other]).faults).toHaveLength(1);
        expect(comparePlays(rows, [{ ...good, rules: { TWICE: 1 } }, other]).faults).toHaveLength(1);
        expect(comparePlays(rows, [good]).faults).toEqual(["sites/a.toml trouble-1: not played"]);
    });
});
