/** Response times and ticket validity of the placement adviser of a queue. */
export interface AdviceConfiguration {
    /** Fixed part of the response time. */
    readonly decideMs: number;
    /** Additional response time for each target in the request. */
    readonly perTargetMs: number;
    /** Time for which a placement ticket is valid. */
    readonly validityMs: number;
}
