/** State of a VM as the platform reports it. */
export enum VmState {
    Up = "up",
    Moving = "moving",
    Maintenance = "upkeep",
    Down = "down",
}
