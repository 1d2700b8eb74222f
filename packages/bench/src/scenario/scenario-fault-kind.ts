/** What goes wrong in a scenario, for a while. */
export enum ScenarioFaultKind {
    /** A target does something wrong. */
    Target = "target",
    /** A target is killed and starts again. */
    KillTarget = "kill-target",
    /** A process is killed and starts again. */
    KillProcess = "kill-process",
    /** A process is stopped by the scheduler and goes on. */
    FreezeProcess = "freeze-process",
    /** The process that leads is killed and starts again. */
    KillLeader = "kill-leader",
    /** A zone is cut off from the others. */
    CutZone = "cut-zone",
    /** Open connections of a zone to the others go silent. */
    SilentZone = "silent-zone",
}
