import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import type { DecisionKind } from "../logging/decision-kind.js";
import { ManualClock } from "../testing/manual-clock.js";
import type { FleetSettings } from "./fleet-settings.js";
import { loadFleetSettings } from "./load-fleet-settings.js";
import { SettingsWatcher } from "./settings-watcher.js";

const buildContent = (seed: string, peerPort = 7_000) => `
[node]
name = "e1"
zone = "a"
roles = ["entry"]
[listen]
callers = "10.0.0.1:80"
ready = "10.0.0.1:81"
[cluster]
seeds = ["${seed}"]
peer_port = ${peerPort}
found = true
`;

describe("SettingsWatcher", () => {
    let folder: string;
    let file: string;
    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "daisylock-watcher-"));
        file = join(folder, "settings.toml");
        writeFileSync(file, buildContent("10.0.0.2:90"));
    });
    afterEach(() => rmSync(folder, { recursive: true }));

    function createWatcher() {
        const lines: { kind: DecisionKind; fields: object }[] = [];
        const applied: FleetSettings[] = [];
        const settings = loadFleetSettings(file).unwrapOrElse(failure => {
            throw failure;
        });
        const log = { record: (kind: DecisionKind, fields: object) => void lines.push({ kind, fields }) };
        const watcher = new SettingsWatcher(file, settings, next => applied.push(next), log, new ManualClock());
        return { lines, applied, watcher };
    }

    it("applies a change that was made without a signal", () => {
        const { lines, applied, watcher } = createWatcher();
        watcher.updateSettings();
        expect(applied).toEqual([]);
        writeFileSync(file, buildContent("10.0.0.9:90", 7_100));
        watcher.updateSettings();
        expect(applied.map(({ cluster }) => cluster.seeds)).toEqual([["10.0.0.9:90"]]);
        expect(lines).toMatchObject([{
            kind: "settings-reloaded",
            fields: { inForce: "cluster.seeds", afterRestart: "cluster.peer_port" },
        }]);
    });

    it("keeps the active settings while the file is invalid, and logs the errors once", () => {
        const { lines, applied, watcher } = createWatcher();
        writeFileSync(file, "[node]");
        Array.from({ length: 5 }, () => watcher.updateSettings());
        expect(applied).toEqual([]);
        expect(lines).toMatchObject([{ kind: "settings-refused" }]);
        writeFileSync(file, buildContent("10.0.0.2:90"));
        watcher.updateSettings();
        expect(lines).toHaveLength(1);
    });
});
