import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import { loadFleetSettings } from "./load-fleet-settings.js";

const entrySettings = `
[node]
name = "e1"
zone = "a"
roles = ["entry"]
[listen]
callers = "10.0.0.1:80"
ready = "10.0.0.1:81"
[cluster]
seeds = ["10.0.0.2:90"]
peer_port = 7000
found = true
`;

describe("loadFleetSettings", () => {
    let folder: string;
    beforeAll(() => {
        folder = mkdtempSync(join(tmpdir(), "daisylock-settings-"));
    });
    afterAll(() => rmSync(folder, { recursive: true }));

    const load = (content: string) => {
        const file = join(folder, "settings.toml");
        writeFileSync(file, content);
        return loadFleetSettings(file);
    };

    it("fills in defaults", () => {
        const settings = load(entrySettings).unwrapOrElse(failure => {
            throw failure;
        });
        expect(settings.tasks).toEqual({ max_lease_ms: 6_000, keep_state_s: 120 });
        expect(settings.cluster.tolerated_losses).toBe(1);
    });

    it.each([
        ["an unknown key", `${entrySettings}\n[tasks]\nmax_leese_ms = 1\n`, "max_leese_ms"],
        ["a seed that is not an address", entrySettings.replace("10.0.0.2:90", "nowhere"), "cluster.seeds"],
        ["a seed with a port out of range", entrySettings.replace("10.0.0.2:90", "10.0.0.2:99999"), "cluster.seeds"],
        [
            "a listener with an octet out of range",
            entrySettings.replace("10.0.0.1:80", "10.0.0.999:80"),
            "listen.callers",
        ],
        ["a port of the peers out of range", entrySettings.replace("7000", "70000"), "cluster.peer_port"],
        ["a time beyond the range of timers", `${entrySettings}\n[limits]\nstop_ms = 3000000000\n`, "limits.stop_ms"],
        ["an empty file", "", "node"],
        ["a file that is cut short", entrySettings.slice(0, 60), ""],
        ["a section of another type", entrySettings.replace("[node]\n", "node = [1]\n[other]\n"), "node"],
        ["a role without a setting that it requires", entrySettings.replace("\"entry\"", "\"keeper\""), "node.data"],
        ["a file that is not valid TOML", "[node", "line 1"],
    ])("rejects %s and names the file and the key", (_, content, expected) => {
        const result = load(content);
        const message = result.isErr ? result.error.message : "";
        expect(message).toContain("settings.toml");
        expect(message).toContain(expected);
    });
});
