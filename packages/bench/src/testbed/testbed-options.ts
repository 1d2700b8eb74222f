import type { LocalClusterOptions } from "../cluster/local-cluster-options.js";

/** A site: a fleet, its targets and its tables. */
export interface TestbedOptions {
    readonly cluster: LocalClusterOptions;
    readonly pools: readonly {
        readonly name: string;
        readonly targetsPerZone: number;
        readonly slots: number;
        /** Median time of a request, milliseconds. */
        readonly serviceMs: number;
        /** Spread of the time: standard deviation of its logarithm. */
        readonly spread: number;
    }[];
    readonly teams: readonly {
        readonly name: string;
        readonly share: number;
        readonly upperLimit: number;
        readonly isolatedService?: "refuse" | "continue" | undefined;
    }[];
    readonly routes: readonly {
        readonly name: string;
        readonly pool: string;
        readonly team: string;
        readonly access: "open" | "keyed";
    }[];
    readonly announceMs: number;
    readonly firstTargetPort: number;
    /** Numbers from 0 to below 1. */
    readonly random: () => number;
}
