/** A team's use of its upper limit at one entry. */
export interface TeamLimit {
    /** Portion of the upper limit that this entry may use. */
    allowed: number;
    /** Number of running requests and of abandoned ones that may still run. */
    inUse: number;
}
