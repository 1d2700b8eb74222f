/** A period without a leader: tasks keep running, but none are started, no VMs are moved and no ends are recorded. */
export interface SimulatedOutage {
    readonly atMs: number;
    readonly durationMs: number;
}
