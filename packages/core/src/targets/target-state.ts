/** What a target says of itself. */
export enum TargetState {
    Ready = "ready",
    Draining = "draining",
}
