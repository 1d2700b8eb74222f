/** The kinds of object in the tables that operators edit. */
export enum ObjectKind {
    Route = "route",
    Pool = "pool",
    Team = "team",
    Key = "key",
    Vm = "vm",
}
