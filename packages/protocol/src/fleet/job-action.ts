/** Actions that a client may request on a job or queue. */
export enum JobAction {
    Submit = "submit",
    /** Reads the state of a job or, on the path of a queue, the number of its waiting jobs. */
    Read = "read",
    Cancel = "cancel",
}
