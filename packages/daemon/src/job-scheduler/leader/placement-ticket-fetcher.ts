import { pickAdviceTargets } from "@daisylock/core/advice/pick-advice-targets.js";
import { TicketCache } from "@daisylock/core/advice/ticket-cache.js";
import type { AdviceConfiguration } from "@daisylock/core/configuration/advice-configuration.js";
import { encodeStepKey } from "@daisylock/core/placement/encode-step-key.js";
import type { PlacementTarget } from "@daisylock/core/placement/placement-target.js";
import { compareCandidates } from "@daisylock/core/queueing/compare-candidates.js";
import type { StepCandidate } from "@daisylock/core/queueing/step-candidate.js";

import type { Clock } from "../../clock/clock.js";
import { runContained } from "../../containment/run-contained.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import type { AdviceService } from "../advice/advice-service.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";

/** Maximum number of requests in flight; the adviser handles one at a time and refuses more than a few dozen. */
const maxInFlightRequests = 8;
/** Timeout margin for requests queued ahead at the adviser and for the network round trip, milliseconds. */
const responseMarginMs = 1_000;
/** Delay before a request without a response is sent again, milliseconds. */
const retryDelayMs = 200;
/** Least remaining validity of a ticket to be used, for the time until the start request arrives, milliseconds. */
const startMarginMs = 300;

/** Dependencies of the ticket fetcher. */
interface TicketFetcherDependencies {
    readonly service: AdviceService;
    readonly clock: Clock;
    readonly log: Pick<DecisionLog, "record">;
    /** Called when tasks may be ready to start. */
    readonly startScheduling: () => void;
}

/** Fetches placement tickets for the steps of queues that have an adviser, on the leader. */
export class PlacementTicketFetcher {
    private readonly tickets = new TicketCache();
    private readonly inFlightSteps = new Set<string>();

    /**
     * @param dependencies - advice service, clock, log and scheduling callback
     */
    constructor(private readonly dependencies: TicketFetcherDependencies) {}

    /**
     * Requests tickets for the steps that lack them, the most urgent first.
     * @param candidates - the steps that have tasks to start, in any order
     * @param pools - the targets by pool
     */
    updateTickets(candidates: readonly StepCandidate[], pools: ReadonlyMap<string, readonly PlacementTarget[]>): void {
        const advised = candidates.filter(({ queue }) => queue?.advice !== undefined).sort(compareCandidates)
            .flatMap(
                candidate => {
                    const { queue, job, occurrence, step } = candidate;
                    return queue?.advice === undefined
                        ? []
                        : [{
                            candidate,
                            advice: queue.advice,
                            pool: queue.pool,
                            name: encodeStepKey(job.id, occurrence, step),
                        }];
                },
            );
        const names = new Set(advised.map(({ name }) => name));
        this.tickets.dropUnneededSteps(name => names.has(name));
        for (const { candidate, advice, pool, name } of advised) {
            if (this.inFlightSteps.size >= maxInFlightRequests) {
                return;
            }
            const latestArrivalAt = this.dependencies.clock.readMonotonic() + startMarginMs;
            const targets = pickAdviceTargets(candidate, name, pools.get(pool) ?? [], this.tickets, latestArrivalAt);
            if (targets.length > 0 && !this.inFlightSteps.has(name)) {
                this.inFlightSteps.add(name);
                const noteFault = createFaultListener(this.dependencies.log);
                const work = { work: WorkKind.Advice, subject: name };
                startContained(noteFault, work, () => this.sendRequest(name, targets, advice));
            }
        }
    }

    /**
     * Finds the ticket of a step for a target.
     * @param step - encoded step key
     * @param target - id of the target
     * @returns the ticket, or `undefined` when there is none that stays valid until a start request arrives
     */
    findTicket(step: string, target: string): string | undefined {
        return this.tickets.findTicket(step, target, this.dependencies.clock.readMonotonic() + startMarginMs);
    }

    /**
     * Deletes a ticket that a target rejected.
     * @param step - encoded step key
     * @param target - id of the target
     */
    dropTicket(step: string, target: string): void {
        this.tickets.dropTicket(step, target);
    }

    private async sendRequest(step: string, targets: readonly string[], advice: AdviceConfiguration): Promise<void> {
        const { service, clock, log, startScheduling } = this.dependencies;
        const requestedAt = clock.readMonotonic();
        const expectedMs = advice.decideMs + advice.perTargetMs * targets.length;
        const timeoutMs = maxInFlightRequests * expectedMs + responseMarginMs;
        const response = await runContained(
            createFaultListener(log),
            { work: WorkKind.Advice, subject: step },
            () => service.sendRequest(step, targets, timeoutMs),
            () => undefined,
        );
        const tookMs = Math.round(clock.readMonotonic() - requestedAt);
        log.record(DecisionKind.AdviceAnswered, {
            step,
            asked: targets.length,
            good: response?.ticketsByTarget.size,
            tookMs,
        });
        if (response === undefined) {
            clock.schedule(retryDelayMs, () => this.inFlightSteps.delete(step));
            return;
        }
        this.inFlightSteps.delete(step);
        // The validity counts from when the adviser sent its response: `expectedMs` after the request at the earliest.
        const validityMs = Math.max(0, response.validityMs - tookMs + Math.min(tookMs, expectedMs));
        this.tickets.recordResponse(step, targets, response.ticketsByTarget, clock.readMonotonic() + validityMs);
        startScheduling();
    }
}
