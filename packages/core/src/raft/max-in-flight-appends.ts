/**
 * Largest number of appends in flight from a leader to one follower, which is also the most that a follower holds; fewer
 * than the batches that the transport accepts.
 */
export const maxInFlightAppends = 12;
