/** Phase of a task. */
export enum TaskPhase {
    Waiting = 0,
    /** A start is recorded, so the task may be running. */
    Placed = 1,
    Done = 2,
    /** Failed as many times as its queue allows. */
    Failed = 3,
}
