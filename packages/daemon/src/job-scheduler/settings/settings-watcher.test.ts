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

describe("the watch of the settings file", () => {
    let folder: string;
    let file: string;
    beforeEach(() => {
        folder = mkdtempSync(join(tmpdir(), "daisylock-watch-"));
        file = join(folder, "settings.toml");
        writeFileSync(file, buildContent("10.0.0.2:90"));
    });
    afterEach(() => rmSync(folder, { recursive: true }));

    function createWatch() {
        const lines: { kind: DecisionKind; fields: object }[] = [];
        const applied: FleetSettings[] = [];
        const settings = loadFleetSettings(file).unwrapOrElse(failure => {
            throw failure;
        });
        const log = { record: (kind: DecisionKind, fields: object) => void lines.push({ kind, fields }) };
        const watch = new SettingsWatcher(file, settings, next => applied.push(next), log, new ManualClock());
        return { lines, applied, watch };
    }

    it("applies a change that came without a signal", () => {
        const { lines, applied, watch } = createWatch();
        watch.updateSettings();
        expect(applied).toEqual([]);
        writeFileSync(file, buildContent("10.0.0.9:90", 7_100));
        watch.updateSettings();
        expect(applied.map(({ cluster }) => cluster.seeds)).toEqual([["10.0.0.9:90"]]);
        expect(lines).toMatchObject([{
            kind: "settings-reloaded",
            fields: { inForce: "cluster.seeds", afterRestart: "cluster.peer_port" },
        }]);
    });

    it("keeps what is in force when the file can't be used, and says so once", () => {
        const { lines, applied, watch } = createWatch();
        writeFileSync(file, "[node]");
        Array.from({ length: 5 }, () => watch.updateSettings());
        expect(applied).toEqual([]);
        expect(lines).toMatchObject([{ kind: "settings-refused" }]);
        writeFileSync(file, buildContent("10.0.0.2:90"));
        watch.updateSettings();
        expect(lines).toHaveLength(1);
    });
});
