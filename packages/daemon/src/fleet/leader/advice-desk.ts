import { planAdvice } from "@daisylock/core/advice/plan-advice.js";
import { TicketBook } from "@daisylock/core/advice/ticket-book.js";
import type { AdviceRule } from "@daisylock/core/configuration/advice-rule.js";
import { buildStepName } from "@daisylock/core/placement/build-step-name.js";
import type { TargetView } from "@daisylock/core/placement/target-view.js";
import { compareCandidates } from "@daisylock/core/queueing/compare-candidates.js";
import type { StepCandidate } from "@daisylock/core/queueing/step-candidate.js";

import type { Clock } from "../../clock/clock.js";
import type { AdviceService } from "../advice/advice-service.js";
import { DecisionKind } from "../log/decision-kind.js";
import type { DecisionLog } from "../log/decision-log.js";

/** Questions under way at a time; the adviser answers one after the other and refuses beyond a few dozen. */
const maxCalls = 8;
/** Wait beyond what an answer takes, milliseconds: the questions before it, and the way there and back. */
const marginMs = 1_000;
/** Wait before a question is asked again that got no answer, milliseconds. */
const retryMs = 200;
/** A ticket must be good for the order that carries it, milliseconds. */
const orderMs = 300;

/** What the desk needs. */
interface AdviceSurroundings {
    readonly service: AdviceService;
    readonly clock: Clock;
    readonly log: Pick<DecisionLog, "note">;
    /** Called when there may be something to start. */
    readonly handleWork: () => void;
}

/** Gets tickets for the steps of queues that have an adviser, on the leader. */
export class AdviceDesk {
    private readonly tickets = new TicketBook();
    private readonly underWay = new Set<string>();

    /**
     * @param surroundings - what the desk needs
     */
    constructor(private readonly surroundings: AdviceSurroundings) {}

    /**
     * Asks about the steps that lack tickets, the most urgent first.
     * @param candidates - the steps that have tasks to start, in any order
     * @param pools - the targets by pool
     */
    updateTickets(candidates: readonly StepCandidate[], pools: ReadonlyMap<string, readonly TargetView[]>): void {
        const advised = candidates.filter(({ rule }) => rule?.advice !== undefined).sort(compareCandidates).flatMap(
            candidate => {
                const { rule, job, occurrence, step } = candidate;
                return rule?.advice === undefined
                    ? []
                    : [{
                        candidate,
                        rule: rule.advice,
                        pool: rule.pool,
                        name: buildStepName(job.id, occurrence, step),
                    }];
            },
        );
        const names = new Set(advised.map(({ name }) => name));
        this.tickets.dropOthers(name => names.has(name));
        for (const { candidate, rule, pool, name } of advised) {
            if (this.underWay.size >= maxCalls) {
                return;
            }
            const now = this.surroundings.clock.readMonotonic() + orderMs;
            const targets = planAdvice(candidate, name, pools.get(pool) ?? [], this.tickets, now);
            if (targets.length > 0 && !this.underWay.has(name)) {
                this.underWay.add(name);
                void this.sendQuestion(name, targets, rule);
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
        return this.tickets.findTicket(step, target, this.surroundings.clock.readMonotonic() + orderMs);
    }

    /**
     * Forgets a ticket that a target did not take.
     * @param step - name of the step
     * @param target - the target
     */
    dropTicket(step: string, target: string): void {
        this.tickets.dropTicket(step, target);
    }

    private async sendQuestion(step: string, targets: readonly string[], rule: AdviceRule): Promise<void> {
        const { service, clock, log, handleWork } = this.surroundings;
        const askedAt = clock.readMonotonic();
        const usualMs = rule.decideMs + rule.perTargetMs * targets.length;
        const answer = await service.sendQuestion(step, targets, maxCalls * usualMs + marginMs);
        const tookMs = Math.round(clock.readMonotonic() - askedAt);
        log.note(DecisionKind.AdviceAnswered, {
            step,
            asked: targets.length,
            good: answer?.good.size,
            tookMs,
        });
        if (answer === undefined) {
            clock.schedule(retryMs, () => this.underWay.delete(step));
            return;
        }
        this.underWay.delete(step);
        // The adviser counts from its answer, which came between the question and now.
        const validityMs = Math.max(0, answer.validityMs - tookMs + Math.min(tookMs, usualMs));
        this.tickets.noteAnswer(step, targets, answer.good, clock.readMonotonic() + validityMs);
        handleWork();
    }
}
