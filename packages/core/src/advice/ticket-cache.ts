/** Responses of the adviser for one step. */
interface StepTickets {
    /** Ids of queried targets; the adviser's response for a step does not change during the incarnation of a target. */
    readonly asked: Set<string>;
    /** Tickets by id of the target. */
    readonly tickets: Map<string, Ticket>;
}

interface Ticket {
    readonly value: string;
    /** Monotonic milliseconds. */
    readonly expiresAt: number;
}

/** Cache of the tickets that placement advisers issued, by encoded step key and target id. */
export class TicketCache {
    private readonly steps = new Map<string, StepTickets>();

    /**
     * Records a response of the adviser.
     * @param stepKey - encoded key of the step
     * @param queried - ids of the targets named in the query
     * @param issued - tickets by id of the target; targets that may not run the step have none
     * @param expiresAt - expiry of the tickets, monotonic milliseconds
     */
    recordResponse(
        stepKey: string,
        queried: readonly string[],
        issued: ReadonlyMap<string, string>,
        expiresAt: number,
    ): void {
        const entry = this.steps.get(stepKey) ?? { asked: new Set<string>(), tickets: new Map<string, Ticket>() };
        this.steps.set(stepKey, entry);
        queried.forEach(target => entry.asked.add(target));
        issued.forEach((value, target) => entry.tickets.set(target, { value, expiresAt }));
    }

    /**
     * Finds the ticket of a step for a target.
     * @param stepKey - encoded key of the step
     * @param target - id of the target
     * @param now - monotonic milliseconds
     * @returns the ticket, or `undefined` when there is none or it has expired
     */
    findTicket(stepKey: string, target: string, now: number): string | undefined {
        const ticket = this.steps.get(stepKey)?.tickets.get(target);
        return ticket !== undefined && now < ticket.expiresAt ? ticket.value : undefined;
    }

    /**
     * Tells whether a target has no valid ticket for a step but may get one by a query.
     * @param stepKey - encoded key of the step
     * @param target - id of the target
     * @param now - monotonic milliseconds
     * @returns false for a target with a valid ticket and for one that the adviser refused for the step
     */
    isQueryNeeded(stepKey: string, target: string, now: number): boolean {
        const entry = this.steps.get(stepKey);
        const isRefused = entry?.asked.has(target) === true && !entry.tickets.has(target);
        return !isRefused && this.findTicket(stepKey, target, now) === undefined;
    }

    /**
     * Evicts a ticket that a target refused, so that the target is queried again.
     * @param stepKey - encoded key of the step
     * @param target - id of the target
     */
    dropTicket(stepKey: string, target: string): void {
        const entry = this.steps.get(stepKey);
        entry?.tickets.delete(target);
        entry?.asked.delete(target);
    }

    /**
     * Evicts steps that have no tasks left to start.
     * @param isNeeded - whether a step, given by its encoded key, has tasks left to start
     */
    dropUnneededSteps(isNeeded: (stepKey: string) => boolean): void {
        [...this.steps.keys()].filter(key => !isNeeded(key)).forEach(key => this.steps.delete(key));
    }
}
