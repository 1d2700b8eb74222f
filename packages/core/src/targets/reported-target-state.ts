/** What a target says of itself. */
export enum ReportedTargetState {
    Ready = "ready",
    Draining = "draining",
}
