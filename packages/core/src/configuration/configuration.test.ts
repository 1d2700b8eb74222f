import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { applyConfiguration } from "./apply-configuration.js";
import { ConfigurationFaultKind } from "./configuration-fault-kind.js";
import { ConfigurationOutcome } from "./configuration-outcome.js";
import { findQueue } from "./find-queue.js";
import type { FleetConfiguration } from "./fleet-configuration.js";
import { validateConfiguration } from "./validate-configuration.js";

const room = { cpu: 1, memory: 1, gpu: 0 };

function buildConfiguration(fields: Partial<FleetConfiguration> = {}): FleetConfiguration {
    const { configuration } = buildTestFleet(0, room).fleet;
    if (configuration === undefined) {
        throw new TypeError("the test fleet has no configuration");
    }
    return { ...configuration, ...fields };
}

describe("configurations", () => {
    describe("versions", () => {
        const put = (state: ReturnType<typeof buildTestFleet>, version: number, source: string) =>
            applyConfiguration(state, {
                kind: CommandKind.SetConfiguration,
                configuration: buildConfiguration({ version, source }),
            });

        it("puts the highest in force and never goes back", () => {
            const state = buildTestFleet(0, room);
            expect(put(state, 7, "seven")).toBe(ConfigurationOutcome.Applied);
            expect(put(state, 5, "five")).toBe(ConfigurationOutcome.Superseded);
            expect(state.fleet.configuration?.source).toBe("seven");
        });

        it("acknowledges the same again, and keeps the first content of a version", () => {
            const state = buildTestFleet(0, room);
            put(state, 7, "first");
            expect(put(state, 7, "first")).toBe(ConfigurationOutcome.AlreadyApplied);
            expect(put(state, 7, "second")).toBe(ConfigurationOutcome.Superseded);
            expect(state.fleet.configuration?.source).toBe("first");
        });
    });

    describe("faults", () => {
        it("names every fault", () => {
            const good = buildConfiguration();
            const [queue] = good.queues;
            const [account] = good.accounts;
            if (queue === undefined || account === undefined) {
                throw new TypeError("the test fleet is empty");
            }
            const bad = buildConfiguration({
                version: 0,
                queues: [queue, { ...queue, name: "twin", pool: "nowhere", timeoutMs: 0 }],
                accounts: [account, { ...account, name: "other" }],
            });
            expect(validateConfiguration(good)).toEqual([]);
            expect(validateConfiguration(bad).map(({ kind }) => kind).sort()).toEqual([
                ConfigurationFaultKind.InvalidVersion,
                ConfigurationFaultKind.ZeroTimeout,
                ConfigurationFaultKind.DuplicateHostAndPrefix,
                ConfigurationFaultKind.DuplicateKey,
                ConfigurationFaultKind.UnknownPool,
            ].sort());
        });
    });

    describe("queues", () => {
        it("takes the longest prefix of the host", () => {
            const good = buildConfiguration();
            const [queue] = good.queues;
            const queues = queue === undefined ? [] : [queue, { ...queue, name: "deep", pathPrefix: "/web/deep/" }];
            const configuration = buildConfiguration({ queues });
            expect(findQueue(configuration, "H", "/web/deep/x")?.name).toBe("deep");
            expect(findQueue(configuration, "h", "/web/x")?.name).toBe("q-web");
            expect(findQueue(configuration, "other", "/web/x")).toBeUndefined();
        });
    });
});
