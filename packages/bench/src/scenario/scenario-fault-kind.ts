/** A temporary fault that a scenario injects. */
export enum ScenarioFaultKind {
    /** A target injects the fault that `target_fault` names. */
    Target = "target",
    /** A target is stopped abruptly and restarted. */
    KillTarget = "kill-target",
    /** A process is killed and restarted. */
    KillProcess = "kill-process",
    /** A process is suspended with SIGSTOP and resumed. */
    FreezeProcess = "freeze-process",
    /** The process of the leader is killed and restarted. */
    KillLeader = "kill-leader",
    /** A zone is partitioned from the others. */
    CutZone = "cut-zone",
    /** Connections that are open between a zone and the others become half-open; new ones work. */
    SilentZone = "silent-zone",
}
