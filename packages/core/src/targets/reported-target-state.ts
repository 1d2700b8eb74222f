/** State that a target reports of itself. */
export enum ReportedTargetState {
    Ready = "ready",
    Draining = "draining",
}
