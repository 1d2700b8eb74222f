/** How a fleet is set up. */
export interface LocalClusterOptions {
    readonly zones: readonly string[];
    readonly entriesPerZone: number;
    readonly keepers: number;
    readonly firstPort: number;
    /** Folder for settings, state and logs. */
    readonly folder: string;
    /** File of the daemon. */
    readonly daemonFile: string;
    /** Whether links between zones can be cut. */
    readonly hasLinkProxies: boolean;
    /** Further settings for every process, by section. */
    readonly settings?: Readonly<Record<string, Readonly<Record<string, unknown>>>> | undefined;
}
