/** Why a wave is paused. */
export enum PauseReason {
    Operator = "operator",
    /** Several VMs did not return to service after their reboot. */
    TooManyFailedVms = "returns-fail",
    /** Many VMs of a pool are down although no wave has drained them, which points to another cause. */
    CorrelatedFailures = "correlated-failures",
}
