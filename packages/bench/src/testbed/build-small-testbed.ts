import { tmpdir } from "node:os";
import { join } from "node:path";

import type { TestbedOptions } from "./testbed-options.js";
import { Testbed } from "./testbed.js";

const defaultDaemonFile = "packages/daemon/dist/daisylockd.js";

/** First port and overrides of the defaults of the small testbed. */
type SmallTestbedOptions = Partial<Omit<TestbedOptions, "cluster">> & {
    /** First port that the testbed uses. Tests that run in parallel need separate port ranges. */
    readonly firstPort: number;
    readonly entriesPerZone?: number;
    readonly settings?: TestbedOptions["cluster"]["settings"];
    readonly keepers?: number;
    readonly folder?: string;
    readonly daemonFile?: string;
};

/**
 * Builds a small testbed for tests and measurements: three zones, three keepers, two targets in each zone, one team with a keyed and an
 * open route.
 * @param options - first port and overrides of the defaults
 * @returns the testbed, not started
 */
export function buildSmallTestbed(options: SmallTestbedOptions): Testbed {
    const { firstPort, entriesPerZone = 2, settings, keepers = 3, ...overrides } = options;
    const {
        folder = join(tmpdir(), `daisylock-test-${firstPort}`),
        daemonFile = defaultDaemonFile,
        ...testbedOverrides
    } = overrides;
    return new Testbed({
        cluster: {
            zones: ["a", "b", "c"],
            entriesPerZone,
            keepers,
            firstPort,
            folder,
            daemonFile,
            hasLinkProxies: true,
            settings: { limits: { leave_notice_ms: 50 }, ...settings },
        },
        pools: [{ name: "front", targetsPerZone: 2, slots: 8, serviceMs: 20, spread: 0.1 }],
        teams: [{ name: "spas", share: 1, upperLimit: 24 }],
        routes: [
            { name: "book", pool: "front", team: "spas", access: "keyed" },
            { name: "hours", pool: "front", team: "spas", access: "open" },
        ],
        announceMs: 250,
        firstTargetPort: firstPort + 500,
        random: () => 0.5,
        ...testbedOverrides,
    });
}
