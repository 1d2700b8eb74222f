/** What an operator may do to the set of keepers. */
export enum KeeperAction {
    Bootstrap = "bootstrap",
    Add = "add",
    Replace = "replace",
    Remove = "remove",
}
