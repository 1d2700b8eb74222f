/** Lowest rate of a target's clock relative to the leader's clock, as guaranteed by the platform. */
export const minClockRate = 0.98;
