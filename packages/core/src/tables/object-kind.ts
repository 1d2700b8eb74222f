/** The kinds of object that operators edit. */
export enum ObjectKind {
    Route = "route",
    Pool = "pool",
    Team = "team",
    Key = "key",
    Vm = "vm",
}
