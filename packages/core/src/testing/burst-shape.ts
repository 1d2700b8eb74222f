/** How the demand of a simulated burst rises and falls. */
export enum BurstShape {
    /** Follows a squared half sine. */
    Gradual,
    /** Is at its full height from the beginning to the end. */
    Sudden,
}
