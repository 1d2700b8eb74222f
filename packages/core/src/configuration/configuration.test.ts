import { describe, expect, it } from "@jest/globals";

import { CommandKind } from "../control/command-kind.js";
import { buildTestFleet } from "../testing/build-test-fleet.js";
import { applyConfiguration } from "./apply-configuration.js";
import { ConfigurationFaultKind } from "./configuration-fault-kind.js";
import { ConfigurationOutcome } from "./configuration-outcome.js";
import { findQueue } from "./find-queue.js";
import type { FleetConfiguration } from "./fleet-configuration.js";
import { validateConfiguration } from "./validate-configuration.js";

const capacity = { cpu: 1, memory: 1, gpu: 0 };

function buildConfiguration(fields: Partial<FleetConfiguration> = {}): FleetConfiguration {
    const { configuration } = buildTestFleet(0, capacity).fleet;
    if (configuration === undefined) {
        throw new TypeError("the test fleet has no configuration");
    }
    return { ...configuration, ...fields };
}

describe("configurations", () => {
    describe("versions", () => {
        const applyVersion = (state: ReturnType<typeof buildTestFleet>, version: number, source: string) =>
            applyConfiguration(state, {
                kind: CommandKind.SetConfiguration,
                configuration: buildConfiguration({ version, source }),
            });

        it("applies the highest version and never reverts to a lower one", () => {
            const state = buildTestFleet(0, capacity);
            expect(applyVersion(state, 7, "seven")).toBe(ConfigurationOutcome.Applied);
            expect(applyVersion(state, 5, "five")).toBe(ConfigurationOutcome.Superseded);
            expect(state.fleet.configuration?.source).toBe("seven");
        });

        it("acknowledges a repeated configuration, and keeps the first content of a version", () => {
            const state = buildTestFleet(0, capacity);
            applyVersion(state, 7, "first");
            expect(applyVersion(state, 7, "first")).toBe(ConfigurationOutcome.AlreadyApplied);
            expect(applyVersion(state, 7, "second")).toBe(ConfigurationOutcome.Superseded);
            expect(state.fleet.configuration?.source).toBe("first");
        });
    });

    describe("faults", () => {
        it("lists every error", () => {
            const valid = buildConfiguration();
            const [queue] = valid.queues;
            const [account] = valid.accounts;
            if (queue === undefined || account === undefined) {
                throw new TypeError("the test fleet has no queue or no account");
            }
            const invalid = buildConfiguration({
                version: 0,
                queues: [queue, { ...queue, name: "twin", pool: "nowhere", timeoutMs: 0 }],
                accounts: [account, { ...account, name: "other" }],
            });
            expect(validateConfiguration(valid)).toEqual([]);
            expect(validateConfiguration(invalid).map(({ kind }) => kind).sort()).toEqual([
                ConfigurationFaultKind.InvalidVersion,
                ConfigurationFaultKind.ZeroTimeout,
                ConfigurationFaultKind.DuplicateHostAndPrefix,
                ConfigurationFaultKind.DuplicateKey,
                ConfigurationFaultKind.UnknownPool,
            ].sort());
        });
    });

    // An entry of another release passes numbers on as they are; one that is too large for a double arrives as null.
    describe("numbers", () => {
        const [queue] = buildConfiguration().queues;
        const [account] = buildConfiguration().accounts;

        it.each<[string, object]>([
            ["a negative priority", { priority: -1 }],
            ["a fractional number of attempts", { maxAttempts: 1.5 }],
            ["a negative stretch", { stretch: -1 }],
            ["no stretch", { stretch: null }],
            ["an infinite stretch", { stretch: Infinity }],
            ["a latency beyond the safe integers", { objectiveMs: 2 ** 53 }],
            ["a time-out beyond the safe integers", { timeoutMs: 1e300 }],
            ["no time-out", { timeoutMs: null }],
            ["advice of a negative duration", { advice: { decideMs: -1, perTargetMs: 0, validityMs: 0 } }],
            ["advice without a duration", { advice: { decideMs: 1, perTargetMs: null, validityMs: 0 } }],
        ])("refuses a queue with %s", (_, fields) => {
            const queues = [{ ...queue, ...fields }] as FleetConfiguration["queues"];
            expect(validateConfiguration(buildConfiguration({ queues }))).not.toEqual([]);
        });

        it.each<[string, object]>([
            ["a negative weight", { weight: -1 }],
            ["no weight", { weight: null }],
            ["a negative cap", { cap: { cpu: -1, memory: 0, gpu: 0 } }],
            ["a cap beyond the safe integers", { cap: { cpu: 0, memory: 1e300, gpu: 0 } }],
        ])("refuses an account with %s", (_, fields) => {
            const accounts = [{ ...account, ...fields }] as FleetConfiguration["accounts"];
            expect(validateConfiguration(buildConfiguration({ accounts })).map(({ kind }) => kind))
                .toEqual([ConfigurationFaultKind.NumberOutOfRange]);
        });
    });

    describe("queues", () => {
        it("selects the longest matching path prefix of the host", () => {
            const valid = buildConfiguration();
            const [queue] = valid.queues;
            const queues = queue === undefined ? [] : [queue, { ...queue, name: "deep", pathPrefix: "/web/deep/" }];
            const configuration = buildConfiguration({ queues });
            expect(findQueue(configuration, "H", "/web/deep/x")?.name).toBe("deep");
            expect(findQueue(configuration, "h", "/web/x")?.name).toBe("q-web");
            expect(findQueue(configuration, "other", "/web/x")).toBeUndefined();
        });
    });
});
