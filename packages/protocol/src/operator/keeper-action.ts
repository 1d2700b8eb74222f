/** Actions that an operator may take on the membership of the keeper cluster. */
export enum KeeperAction {
    Bootstrap = "bootstrap",
    Add = "add",
    Replace = "replace",
    Remove = "remove",
}
