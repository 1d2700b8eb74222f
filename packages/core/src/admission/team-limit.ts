/** A team's use of its upper limit at one entry. */
export interface TeamLimit {
    /** Part of the upper limit that this entry may use. */
    allowed: number;
    /** Running requests and given-up ones that may still run. */
    inUse: number;
}
