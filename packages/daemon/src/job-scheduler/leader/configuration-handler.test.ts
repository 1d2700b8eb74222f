import { ConfigurationOutcome } from "@daisylock/core/configuration/configuration-outcome.js";
import type { FleetConfiguration } from "@daisylock/core/configuration/fleet-configuration.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { describe, expect, it } from "@jest/globals";

import { DecisionLog } from "../logging/decision-log.js";
import { FakeKeeper } from "../testing/fake-keeper.js";
import { ConfigurationHandler } from "./configuration-handler.js";
import { Leadership } from "./leadership.js";

describe("configurations that an earlier release acknowledged", () => {
    it("are acknowledged again, although this release would refuse them, and refused with other content", async () => {
        const state = buildTestFleet(1, { cpu: 1, memory: 1, gpu: 0 });
        const { configuration } = state.fleet;
        const accounts = configuration?.accounts.map(account => ({ ...account, weight: -1 }));
        const stored = { ...configuration, accounts } as FleetConfiguration;
        state.fleet.configuration = stored;
        const leadership = new Leadership(new FakeKeeper(state), 1);
        const handler = new ConfigurationHandler(leadership, new DecisionLog("k0", "silent"));
        expect(await handler.handlePut({ ...stored })).toMatchObject({
            value: { outcome: ConfigurationOutcome.AlreadyApplied },
        });
        expect(await handler.handlePut({ ...stored, source: "{ }" })).toMatchObject({ value: { outcome: undefined } });
    });
});
