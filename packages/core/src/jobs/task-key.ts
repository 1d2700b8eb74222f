/** Names one task. */
export interface TaskKey {
    readonly job: string;
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
}
