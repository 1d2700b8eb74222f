/** Why a wave is paused. */
export enum PauseReason {
    Operator = "operator",
    /** Several VMs did not return to service after their reboot. */
    TooManyFailedVms = "returns-fail",
    /** Many VMs are down that no wave has drained, which points to another cause. */
    CorrelatedFailures = "correlated-failures",
}
