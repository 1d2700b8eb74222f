/** Slowest that a target's clock may run against ours; a bound of the platform. */
export const minClockRate = 0.98;
