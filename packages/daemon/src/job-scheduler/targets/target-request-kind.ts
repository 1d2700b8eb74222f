/** Kind of a request to a target; also the last part of the path of a relayed request, and the value of a metric label. */
export enum TargetRequestKind {
    Start = "start",
    Stop = "stop",
    Pace = "pace",
    Renew = "renew",
    Check = "check",
}
