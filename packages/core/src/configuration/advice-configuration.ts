/** How the placement adviser of a queue answers. */
export interface AdviceConfiguration {
    /** Milliseconds of one answer, whatever it names. */
    readonly decideMs: number;
    /** Milliseconds for each target named in the question. */
    readonly perTargetMs: number;
    /** Milliseconds for which a ticket is good. */
    readonly validityMs: number;
}
