/** Term and vote of a keeper, which are persisted before any reply so that it never votes twice in a term. */
export interface HardState {
    readonly term: number;
    /** Id of the candidate that got the vote in this term; `undefined` for none. */
    readonly votedFor: string | undefined;
}
