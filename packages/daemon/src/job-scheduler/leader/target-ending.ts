/** How a target incarnation has ended, by the word of the VM service. */
export enum TargetEnding {
    /** Its process has stopped: the VM is down, or runs another target in the same pool. */
    Stopped = "stopped",
    /** Its process has stopped together with all others of its rack or availability zone. */
    SharedFailure = "shared-failure",
    /** Its VM was moved, is being maintained or no longer exists. */
    VmTaken = "vm-taken",
}
