/** A time in which nobody leads: work goes on, but nothing is started, moved or taken note of. */
export interface PlayedOutage {
    readonly atMs: number;
    readonly forMs: number;
}
