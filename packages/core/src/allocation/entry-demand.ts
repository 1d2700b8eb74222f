/** What an entry could use of a pool or of a team's limit. */
export interface EntryDemand {
    /** Running and waiting. */
    wanted: number;
    waiting: number;
    /** Highest of the recent wants, falling off with time; plans rest on it, so that they don't follow every request. */
    peak: number;
}
