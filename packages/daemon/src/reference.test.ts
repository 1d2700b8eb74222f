import { RefusalReason } from "@daisylock/core/outcomes/refusal-reason.js";
import { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";
import { refusalProblems } from "@daisylock/protocol/http/refusal-problems.js";
import { unknownOutcomeProblems } from "@daisylock/protocol/http/unknown-outcome-problems.js";
import { describe, expect, it } from "@jest/globals";
import { readFileSync } from "node:fs";
import * as v from "valibot";

import { DecisionKind } from "./job-scheduler/logging/decision-kind.js";
import { FleetMetricName } from "./job-scheduler/metrics/fleet-metric-name.js";
import { fleetSettingsSchema } from "./job-scheduler/settings/fleet-settings-schema.js";
import { MetricName } from "./metrics/metric-name.js";
import { operatorHandlers } from "./request-proxy/keeper/operator-api/operator-handlers.js";
import { loadSettings } from "./settings/load-settings.js";

const readPage = (name: string) => readFileSync(`docs/reference/${name}.md`, "utf8");
const readRows = (page: string) =>
    [...page.matchAll(/^\| `([^`]+)` \| ([^|]+) \| ([^|]+) \|$/gm)].map(match => match.slice(1, 4));

function listKeys(value: object, prefix: string): string[] {
    return Object.entries(value).flatMap(([key, child]) => {
        const isSection = prefix === "" && typeof child === "object";
        return isSection ? listKeys(child as object, `${key}.`) : [`${prefix}${key}`];
    });
}

describe("the reference documentation", () => {
    it("lists every reason with its HTTP status and whether to retry", () => {
        const expected = [
            ...Object.values(RefusalReason).map(reason => [reason, refusalProblems[reason]] as const),
            ...Object.values(UnknownOutcomeReason).map(reason => [reason, unknownOutcomeProblems[reason]] as const),
        ].map(([reason, problem]) => `${reason} ${problem.status} ${problem.mayRetry ? "yes" : "no"}`);
        const listed = readRows(readPage("answers")).map(([reason, status, retry]) => `${reason} ${status} ${retry}`);
        expect(listed.sort()).toEqual(expected.sort());
    });

    it("lists every metric", () => {
        const listed = readRows(readPage("metrics")).map(([name]) => name);
        const expected = [...Object.values(MetricName), ...Object.values(FleetMetricName)];
        expect(listed.sort()).toEqual(expected.sort());
    });

    it("lists every setting with its default", () => {
        const settings = loadSettings("examples/single.toml").unwrapOrElse(failure => {
            throw failure;
        });
        const rows = readRows(readPage("settings"));
        const optional = ["metrics.statsd", "platform.address", "platform.token"];
        expect(rows.map(([key]) => key).sort()).toEqual([...listKeys(settings, ""), ...optional].sort());
        for (const [key, defaultValue] of rows.filter(([name]) => name?.startsWith("limits.") === true)) {
            const value = settings.limits[key?.slice("limits.".length) as keyof typeof settings.limits];
            expect(`${key} ${value}`).toBe(`${key} ${defaultValue}`);
        }
    });

    it("lists every kind of log line", () => {
        const listed = readRows(readPage("decisions")).map(([kind]) => kind);
        expect(listed.sort()).toEqual([...Object.values(DecisionKind)].sort());
    });

    it("lists every setting of the job scheduler with its default", () => {
        const rows = readRows(readPage("fleet-settings"));
        const minimal = {
            node: { name: "n", zone: "z", roles: ["entry"] },
            listen: {},
            cluster: { seeds: ["10.0.0.1:80"], peer_port: 7_000, found: true },
        };
        const settings = v.parse(fleetSettingsSchema, minimal);
        const values = new Map<string, string>(
            Object.entries(settings).flatMap(([section, content]) =>
                Object.entries(content).map(([key, value]) => [`${section}.${key}`, String(value)] as const)
            ),
        );
        expect(rows.map(([key]) => key).sort()).toEqual([...values.keys()].sort());
        for (const [key, defaultValue] of rows.filter(row => row[1] !== "required")) {
            expect(`${key} ${values.get(key ?? "") || "empty"}`).toBe(`${key} ${defaultValue}`);
        }
    });

    it("lists every request that the leader serves", () => {
        const page = readPage("http-api");
        for (const [method, pattern] of operatorHandlers) {
            const path = pattern.source.replaceAll("\\/", "/").replace(/^\^|\$$/g, "").replace(/\(.*\)/, "{");
            expect(page).toContain(`\`${method} ${path}`);
        }
    });
});
