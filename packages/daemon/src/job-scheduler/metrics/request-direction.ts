/** Whether this process sent a request or received it; also the value of a metric label. */
export enum RequestDirection {
    Sent = "sent",
    Received = "received",
}
