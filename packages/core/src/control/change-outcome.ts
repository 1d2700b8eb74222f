/** Outcome of a change of the tables. */
export enum ChangeOutcome {
    Accepted = "accepted",
    /** The change is based on an outdated revision: another change was accepted first. */
    Conflict = "conflict",
    /** The change would leave the tables inconsistent. */
    Invalid = "invalid",
    /** The change id was used before with different content. */
    IdReused = "id-reused",
}
