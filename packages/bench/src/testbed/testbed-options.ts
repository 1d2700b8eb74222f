import type { LocalClusterOptions } from "../cluster/local-cluster-options.js";

/** Options of a testbed: its local cluster, fake targets and tables. */
export interface TestbedOptions {
    readonly cluster: LocalClusterOptions;
    readonly pools: readonly {
        readonly name: string;
        readonly targetsPerZone: number;
        readonly slots: number;
        /** Median service time of a request, milliseconds. */
        readonly serviceMs: number;
        /** Standard deviation of the logarithm of the service time. */
        readonly spread: number;
    }[];
    readonly teams: readonly {
        readonly name: string;
        readonly share: number;
        readonly upperLimit: number;
        /** How a zone whose copy of the keys is outdated handles the team's keyed requests; `refuse` when absent. */
        readonly isolatedService?: "refuse" | "continue" | undefined;
    }[];
    readonly routes: readonly {
        readonly name: string;
        readonly pool: string;
        readonly team: string;
        readonly access: "open" | "keyed";
    }[];
    /** Shortest interval between announcements of a target to an entry, milliseconds. */
    readonly announceMs: number;
    readonly firstTargetPort: number;
    /** Returns uniform random numbers in [0, 1). */
    readonly random: () => number;
}
