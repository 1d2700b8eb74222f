/** What the adviser says of one step. */
export interface AdviceResponse {
    /** Ticket by target that may run the step. */
    readonly ticketsByTarget: ReadonlyMap<string, string>;
    /** Time for which the tickets are good, milliseconds. */
    readonly validityMs: number;
}
