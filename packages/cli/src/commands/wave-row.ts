/** A wave as the API lists it; times are milliseconds since 1970. */
export interface WaveRow {
    readonly id: string;
    readonly status: string;
    readonly pauseReason?: string;
    readonly startedAt: number;
    /** Number of VMs by step. */
    readonly counts: Readonly<Record<string, number>>;
    /** VMs with their current step and the time at which they entered it. */
    readonly vms: readonly { readonly vm: string; readonly step: string; readonly since: number }[];
}
