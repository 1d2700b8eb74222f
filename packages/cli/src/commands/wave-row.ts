/** A wave as the API lists it; times are milliseconds since 1970. */
export interface WaveRow {
    readonly id: string;
    readonly status: string;
    readonly pauseReason?: string;
    readonly startedAt: number;
    readonly counts: Readonly<Record<string, number>>;
    readonly vms: readonly { readonly vm: string; readonly step: string; readonly since: number }[];
}
