/** What the platform says of a VM. */
export enum VmState {
    Up = "up",
    Moving = "moving",
    Upkeep = "upkeep",
    Down = "down",
}
