import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { loadSettings } from "./load-settings.js";

let folder = "";
const validSettings = readFileSync("examples/single.toml", "utf8");

function listErrors(text: string): readonly string[] {
    const file = join(folder, "settings.toml");
    writeFileSync(file, text);
    return loadSettings(file).match({ Ok: () => [], Err: failure => failure.faults });
}

beforeEach(() => {
    folder = mkdtempSync(join(tmpdir(), "daisylock-settings-"));
});
afterEach(() => rmSync(folder, { recursive: true, force: true }));

describe("settings", () => {
    it("accepts the example settings file", () => {
        expect(listErrors(validSettings)).toEqual([]);
    });

    describe("with one validation error", () => {
        const cases: readonly (readonly [string, string, string, RegExp])[] = [
            ["an unknown key", "name = \"single\"", "name = \"single\"\ncolour = \"red\"", /^node\.colour: /],
            ["a wrong type", "name = \"single\"", "name = 7", /^node\.name: .*string/],
            [
                "an address with a host name instead of an IP address",
                "127.0.0.1:7001",
                "localhost:7001",
                /^listen\.callers: expected an IP address/,
            ],
            ["a keeper without a data directory", "data = \"data/single\"", "", /^node\.data: expected a folder/],
            [
                "an entry without a caller address",
                "callers = \"127.0.0.1:7001\"",
                "",
                /^listen\.callers: expected an address/,
            ],
            ["a short secret", "example-cluster-secret", "short", /^cluster\.secret: expected at least 16/],
            ["an unknown role", "\"keeper\"]", "\"king\"]", /^node\.roles\.1: /],
            ["invalid TOML syntax", "[node]", "[node", /^line 3: expected TOML/],
        ];
        it.each(cases)("reports the key and the expected value: %s", (_name, before, after, line) => {
            const errors = listErrors(validSettings.replace(before, after));
            expect(errors).toHaveLength(1);
            expect(errors[0]).toMatch(line);
        });
    });

    it("reports a file that cannot be read", () => {
        const failure = loadSettings(join(folder, "absent.toml")).match({ Ok: () => undefined, Err: error => error });
        expect(failure?.message).toMatch(/absent\.toml: expected a readable file/);
    });
});
