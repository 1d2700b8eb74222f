/** Whether a target takes work, as it says itself. */
export enum TargetAvailability {
    Ready = 0,
    /** Finishes what it has and takes nothing new. */
    Leaving = 1,
    /** Its lease ran out. */
    Gone = 2,
}
