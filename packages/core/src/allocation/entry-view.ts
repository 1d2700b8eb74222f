/** What the leader knows of an entry. */
export interface EntryView {
    readonly entry: string;
    /** Entry and incarnation; the name under which it holds grants. */
    readonly holder: string;
    readonly zone: string;
    revision: number;
    reportNumber: number;
    /** Monotonic milliseconds of the leader. */
    heardAt: number;
    isLeaving: boolean;
    /** Units wanted and waiting, by pool and by team. */
    readonly poolDemand: Map<string, { wanted: number; waiting: number }>;
    readonly teamDemand: Map<string, { wanted: number; waiting: number }>;
    readonly teamUse: Map<string, number>;
}
