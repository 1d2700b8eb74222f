import { tmpdir } from "node:os";
import { join } from "node:path";

import type { TestbedOptions } from "./testbed-options.js";
import { Testbed } from "./testbed.js";

const builtDaemon = "packages/daemon/dist/daisylockd.js";

/** What a test may want otherwise. */
type SmallTestbedOptions = Partial<Omit<TestbedOptions, "fleet">> & {
    /** Ports from which on the site uses; tests that run at once need ranges of their own. */
    readonly firstPort: number;
    readonly entriesPerZone?: number;
    readonly settings?: TestbedOptions["cluster"]["settings"];
    readonly keepers?: number;
    readonly folder?: string;
    readonly daemonFile?: string;
};

/**
 * Builds a small site for tests: three zones, three keepers, two targets a zone, one team with a keyed and an open route.
 * @param options - what the test wants otherwise
 * @returns the site, not started
 */
export function buildSmallTestbed(options: SmallTestbedOptions): Testbed {
    const { firstPort, entriesPerZone = 2, settings, keepers = 3, ...others } = options;
    const { folder = join(tmpdir(), `daisylock-test-${firstPort}`), daemonFile = builtDaemon, ...rest } = others;
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
        ...rest,
    });
}
