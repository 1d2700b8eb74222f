import type { FleetState } from "../fleet/fleet-state.js";
import type { TaskStart } from "../jobs/task-start.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import type { Resources } from "../resources/resources.js";
import { encodeStepKey } from "./encode-step-key.js";
import type { PlacementTarget } from "./placement-target.js";

/** State of one placement round. */
export class PlacementRound {
    /** The starts planned so far. */
    readonly starts: TaskStart[] = [];
    /** Resources of tasks that may be running or are planned, by client account. */
    readonly accountLoads: Map<string, Resources>;

    /**
     * @param fleet - the fleet state
     * @param pools - the targets by pool
     * @param isAdvised - whether there is a ticket for a step and a target; for queues with a placement adviser
     */
    constructor(
        readonly fleet: FleetState,
        readonly pools: ReadonlyMap<string, PlacementTarget[]>,
        private readonly isAdvised: (stepKey: string, target: string) => boolean,
    ) {
        this.accountLoads = new Map(fleet.accountLoads);
    }

    /**
     * Lists the targets on which the queue of a step allows to run it.
     * @param candidate - the step
     * @returns the targets of its pool, or those for which there is a ticket
     */
    listTargets({ job, queue, occurrence, step }: StepCandidate): readonly PlacementTarget[] {
        const targets = this.pools.get(queue?.pool ?? job.pool) ?? [];
        const stepKey = encodeStepKey(job.id, occurrence, step);
        return queue?.advice === undefined
            ? targets
            : targets.filter(({ record }) => this.isAdvised(stepKey, record.id));
    }
}
