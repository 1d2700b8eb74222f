/**
 * Time after its start for which a run is on probation, milliseconds. A task that crashes its targets does so as it
 * starts; one that has run for this long is not suspected.
 */
export const probationMs = 200;
