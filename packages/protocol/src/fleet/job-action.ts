/** What a caller asks of a job or a queue. */
export enum JobAction {
    Submit = "submit",
    /** Reads the state of a job, or, on the path of a queue, how many of its jobs wait. */
    Read = "read",
    Cancel = "cancel",
}
