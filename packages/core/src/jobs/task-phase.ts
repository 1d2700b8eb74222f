/** Where one task stands. */
export enum TaskPhase {
    Waiting = 0,
    /** A start is recorded; the task may be running. */
    Placed = 1,
    Done = 2,
    /** Failed as often as its queue allows. */
    Failed = 3,
}
