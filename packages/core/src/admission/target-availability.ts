/** Whether a target accepts requests, as it announces itself. */
export enum TargetAvailability {
    Ready = 0,
    /** Finishes its running requests and accepts no new ones. */
    Leaving = 1,
    /** The lease of the target expired. */
    Gone = 2,
}
