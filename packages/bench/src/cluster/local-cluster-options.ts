/** Options of a local cluster. */
export interface LocalClusterOptions {
    readonly zones: readonly string[];
    readonly entriesPerZone: number;
    /** Number of processes that also run a keeper (control-plane replica). */
    readonly keepers: number;
    readonly firstPort: number;
    /** Folder for settings, state and logs; it is emptied on every start. */
    readonly folder: string;
    /** Path of the daemon's JavaScript file. */
    readonly daemonFile: string;
    /** Whether traffic between zones goes through proxies that can interrupt it. */
    readonly hasLinkProxies: boolean;
    /** Additional settings for every process, by section. */
    readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>> | undefined;
}
