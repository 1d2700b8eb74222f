/** What became of a change of the tables. */
export enum ChangeOutcome {
    Accepted = "accepted",
    /** Another change was accepted first. */
    Conflict = "conflict",
    /** The change would leave the tables inconsistent. */
    Invalid = "invalid",
    /** The change id was used before for other content. */
    IdReused = "id-reused",
}
