/** What is known of the targets that may run one step. */
interface StepTickets {
    /** Targets that the adviser was asked about; its answer for a step does not change while they live. */
    readonly asked: Set<string>;
    readonly tickets: Map<string, Ticket>;
}

interface Ticket {
    readonly value: string;
    /** Monotonic milliseconds. */
    readonly expiresAt: number;
}

/** The tickets that a queue's adviser gave for steps, by the step's name and the target's id. */
export class TicketCache {
    private readonly steps = new Map<string, StepTickets>();

    /**
     * Notes an answer of the adviser.
     * @param step - name of the step
     * @param asked - targets that it was asked about
     * @param good - ticket by target that may run the step
     * @param goodUntil - end of the tickets, monotonic milliseconds
     */
    recordAnswer(step: string, asked: readonly string[], good: ReadonlyMap<string, string>, goodUntil: number): void {
        const advice = this.steps.get(step) ?? { asked: new Set<string>(), tickets: new Map<string, Ticket>() };
        this.steps.set(step, advice);
        asked.forEach(target => advice.asked.add(target));
        good.forEach((value, target) => advice.tickets.set(target, { value, expiresAt: goodUntil }));
    }

    /**
     * Finds the ticket of a step for a target.
     * @param step - name of the step
     * @param target - the target
     * @param now - monotonic milliseconds
     * @returns the ticket, or `undefined` when there is none that is good now
     */
    findTicket(step: string, target: string, now: number): string | undefined {
        const ticket = this.steps.get(step)?.tickets.get(target);
        return ticket !== undefined && now < ticket.expiresAt ? ticket.value : undefined;
    }

    /**
     * Tells whether asking about a target may bring a ticket that is not there.
     * @param step - name of the step
     * @param target - the target
     * @param now - monotonic milliseconds
     * @returns false for a target with a good ticket and for one that may not run the step
     */
    isQueryNeeded(step: string, target: string, now: number): boolean {
        const advice = this.steps.get(step);
        const isRefused = advice?.asked.has(target) === true && !advice.tickets.has(target);
        return !isRefused && this.findTicket(step, target, now) === undefined;
    }

    /**
     * Forgets a ticket that a target did not take.
     * @param step - name of the step
     * @param target - the target
     */
    dropTicket(step: string, target: string): void {
        const advice = this.steps.get(step);
        advice?.tickets.delete(target);
        advice?.asked.delete(target);
    }

    /**
     * Forgets steps that have nothing left to start.
     * @param isNeeded - whether a step has
     */
    dropUnneededSteps(isNeeded: (step: string) => boolean): void {
        [...this.steps.keys()].filter(step => !isNeeded(step)).forEach(step => this.steps.delete(step));
    }
}
