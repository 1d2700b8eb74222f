/** What the adviser says of one step. */
export interface AdviceAnswer {
    /** Ticket by target that may run the step. */
    readonly good: ReadonlyMap<string, string>;
    /** Time for which the tickets are good, milliseconds. */
    readonly validityMs: number;
}
