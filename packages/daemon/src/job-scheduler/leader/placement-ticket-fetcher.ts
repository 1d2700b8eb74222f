import { pickAdviceTargets } from "@daisylock/core/advice/pick-advice-targets.js";
import { TicketCache } from "@daisylock/core/advice/ticket-cache.js";
import type { AdviceConfiguration } from "@daisylock/core/configuration/advice-configuration.js";
import { encodeStepKey } from "@daisylock/core/placement/encode-step-key.js";
import type { PlacementTarget } from "@daisylock/core/placement/placement-target.js";
import { compareCandidates } from "@daisylock/core/queueing/compare-candidates.js";
import type { StepCandidate } from "@daisylock/core/queueing/step-candidate.js";

import type { Clock } from "../../clock/clock.js";
import type { AdviceService } from "../advice/advice-service.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";

/** Questions under way at a time; the adviser answers one after the other and refuses beyond a few dozen. */
const maxInFlightRequests = 8;
/** Wait beyond what an answer takes, milliseconds: the questions before it, and the way there and back. */
const responseMarginMs = 1_000;
/** Wait before a question is asked again that got no answer, milliseconds. */
const retryDelayMs = 200;
/** A ticket must be good for the order that carries it, milliseconds. */
const startMarginMs = 300;

/** What the desk needs. */
interface TicketFetcherDependencies {
    readonly service: AdviceService;
    readonly clock: Clock;
    readonly log: Pick<DecisionLog, "record">;
    /** Called when there may be something to start. */
    readonly startScheduling: () => void;
}

/** Gets tickets for the steps of queues that have an adviser, on the leader. */
export class PlacementTicketFetcher {
    private readonly tickets = new TicketCache();
    private readonly inFlightSteps = new Set<string>();

    /**
     * @param dependencies - what the desk needs
     */
    constructor(private readonly dependencies: TicketFetcherDependencies) {}

    /**
     * Asks about the steps that lack tickets, the most urgent first.
     * @param candidates - the steps that have tasks to start, in any order
     * @param pools - the targets by pool
     */
    updateTickets(candidates: readonly StepCandidate[], pools: ReadonlyMap<string, readonly PlacementTarget[]>): void {
        const advised = candidates.filter(({ queue: rule }) => rule?.advice !== undefined).sort(compareCandidates)
            .flatMap(
                candidate => {
                    const { queue: rule, job, occurrence, step } = candidate;
                    return rule?.advice === undefined
                        ? []
                        : [{
                            candidate,
                            rule: rule.advice,
                            pool: rule.pool,
                            name: encodeStepKey(job.id, occurrence, step),
                        }];
                },
            );
        const names = new Set(advised.map(({ name }) => name));
        this.tickets.dropUnneededSteps(name => names.has(name));
        for (const { candidate, rule, pool, name } of advised) {
            if (this.inFlightSteps.size >= maxInFlightRequests) {
                return;
            }
            const now = this.dependencies.clock.readMonotonic() + startMarginMs;
            const targets = pickAdviceTargets(candidate, name, pools.get(pool) ?? [], this.tickets, now);
            if (targets.length > 0 && !this.inFlightSteps.has(name)) {
                this.inFlightSteps.add(name);
                void this.sendRequest(name, targets, rule);
            }
        }
    }

    /**
     * Finds the ticket of a step for a target.
     * @param step - name of the step
     * @param target - the target
     * @returns the ticket, or `undefined` when there is none that is good for an order now
     */
    findTicket(step: string, target: string): string | undefined {
        return this.tickets.findTicket(step, target, this.dependencies.clock.readMonotonic() + startMarginMs);
    }

    /**
     * Forgets a ticket that a target did not take.
     * @param step - name of the step
     * @param target - the target
     */
    dropTicket(step: string, target: string): void {
        this.tickets.dropTicket(step, target);
    }

    private async sendRequest(step: string, targets: readonly string[], rule: AdviceConfiguration): Promise<void> {
        const { service, clock, log, startScheduling: handleWork } = this.dependencies;
        const askedAt = clock.readMonotonic();
        const usualMs = rule.decideMs + rule.perTargetMs * targets.length;
        const answer = await service.sendRequest(step, targets, maxInFlightRequests * usualMs + responseMarginMs);
        const tookMs = Math.round(clock.readMonotonic() - askedAt);
        log.record(DecisionKind.AdviceAnswered, {
            step,
            asked: targets.length,
            good: answer?.ticketsByTarget.size,
            tookMs,
        });
        if (answer === undefined) {
            clock.schedule(retryDelayMs, () => this.inFlightSteps.delete(step));
            return;
        }
        this.inFlightSteps.delete(step);
        // The adviser counts from its answer, which came between the question and now.
        const validityMs = Math.max(0, answer.validityMs - tookMs + Math.min(tookMs, usualMs));
        this.tickets.recordAnswer(step, targets, answer.ticketsByTarget, clock.readMonotonic() + validityMs);
        handleWork();
    }
}
