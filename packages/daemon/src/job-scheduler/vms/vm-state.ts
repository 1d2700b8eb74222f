/** What the platform says of a VM. */
export enum VmState {
    Up = "up",
    Moving = "moving",
    Maintenance = "upkeep",
    Down = "down",
}
