import { computeReservedResources } from "../fleet/compute-reserved-resources.js";
import { readPool } from "../queueing/read-pool.js";
import type { StepCandidate } from "../queueing/step-candidate.js";
import { isWithin } from "../resources/is-within.js";
import type { Resources } from "../resources/resources.js";

/** Needs for which no target of a pool has room, and the label that these targets had to have. */
interface MissingRoom {
    readonly needs: Resources;
    readonly label: string | undefined;
}

/**
 * Remembers for one round for which needs the pools have no room, so that a backlog of steps that need as much or more
 * does not have every target visited for each of them. Valid while no room is given back.
 */
export class FullPools {
    private readonly missingByPool = new Map<string, MissingRoom[]>();

    /**
     * Records that no target had room for a task of a step. Steps with a maximum per target are left out, as their own
     * tasks may be what keeps the next one out.
     * @param candidate - the step
     */
    noteNoRoom(candidate: StepCandidate): void {
        const { definition, queue } = candidate;
        if (definition.maxPerTarget !== 0 || queue?.advice !== undefined) {
            return;
        }
        const missing = { needs: computeReservedResources(definition), label: definition.requiredLabel };
        const others = this.listMissing(candidate).filter(other => !isImplied(other, missing));
        this.missingByPool.set(readPool(candidate), [...others, missing]);
    }

    /**
     * Tells whether a step is known to find no room.
     * @param candidate - the step
     * @returns true when a step with weaker requirements has found none in this round
     */
    isFull(candidate: StepCandidate): boolean {
        const { definition } = candidate;
        const required = { needs: computeReservedResources(definition), label: definition.requiredLabel };
        return this.listMissing(candidate).some(missing => isImplied(required, missing));
    }

    private listMissing(candidate: StepCandidate): readonly MissingRoom[] {
        return this.missingByPool.get(readPool(candidate)) ?? [];
    }
}

/** Tells whether there is no room for `required` because there is none for `missing`. */
function isImplied(required: MissingRoom, missing: MissingRoom): boolean {
    return (missing.label === undefined || missing.label === required.label)
        && isWithin(missing.needs, required.needs);
}
