/** Whether a target accepts requests. */
export enum TargetAvailability {
    Ready = 0,
    /** Finishes its running requests and accepts no new ones. */
    Leaving = 1,
    /** The lease of the target expired, or no entry reports the target any more. */
    Gone = 2,
}
