/** Why a round has not placed a task that waits: targets of its pool by the first filter that refuses them. */
export interface PlacementRefusal {
    /** Number of targets of the pool. */
    readonly targets: number;
    /** Targets on which the round could start nothing, as they are not usable or ejected. */
    readonly unusable: number;
    /** Targets that have taken as many starts as they may. */
    readonly noStartsLeft: number;
    /** Targets that are kept for tasks that may crash them. */
    readonly quarantined: number;
    readonly noCapacity: number;
    /** Targets without the label that the step requires. */
    readonly noLabel: number;
    /** Targets that run as many tasks of the step as it allows. */
    readonly spread: number;
    /** Targets for which the placement adviser has issued no ticket. */
    readonly noTicket: number;
    /** Targets that no filter refuses. */
    readonly fitting: number;
    /** Whether the task may crash its target, so that it waits for one in quarantine. */
    readonly suspect: boolean;
    /** Whether the tasks of its step wait for a suspect among them. */
    readonly stepHeld: boolean;
    /** Whether the client account is at its limit. */
    readonly accountFull: boolean;
}
