/** Whether this process sent a request, had it sent by a relay or received it; also the value of a metric label. */
export enum RequestDirection {
    Sent = "sent",
    Relayed = "relayed",
    Received = "received",
}
