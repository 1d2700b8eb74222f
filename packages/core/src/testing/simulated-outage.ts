/** A time in which nobody leads: work goes on, but nothing is started, moved or taken note of. */
export interface SimulatedOutage {
    readonly atMs: number;
    readonly durationMs: number;
}
