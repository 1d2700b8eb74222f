/** The placement adviser's response for one step. */
export interface AdviceResponse {
    /** Ticket by id of each target that may run the step. */
    readonly ticketsByTarget: ReadonlyMap<string, string>;
    /** Validity of the tickets, milliseconds. */
    readonly validityMs: number;
}
