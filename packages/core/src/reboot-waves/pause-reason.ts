/** Why a wave is paused. */
export enum PauseReason {
    Operator = "operator",
    /** Several VMs did not come back. */
    TooManyFailedVms = "returns-fail",
    /** More VMs are down than the wave took out: something else is going on. */
    CorrelatedFailures = "correlated-failures",
}
