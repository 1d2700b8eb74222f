import { maxRequestDelayMs } from "./max-request-delay-ms.js";

/**
 * Longest time for which an acknowledgement is held back because of starts that had no response, and after which it lets no
 * further start be sent before it, milliseconds.
 */
const maxHeldMs = 2_500;

/**
 * Decides when a target may be told to discard the ends that it lists. A request that gets no response may be executed
 * seconds later by the next incarnation of the target, whose ends have numbers of their own: an acknowledgement that is
 * executed there after a start discards the end of its run unread. So none is sent while a start may still be on its way,
 * and no start is sent during an acknowledgement; after one without a response, the next start needs a higher fencing
 * token, with which the target refuses it. Times are monotonic milliseconds.
 */
export class EndAcknowledgements {
    private committed = 0;
    private acknowledged = 0;
    /** Whether the target lists so many ends that it may leave out others. */
    private isListLong = false;
    /** When the oldest end that is committed and not acknowledged was. */
    private heldSince: number | undefined;
    private startsInFlight = 0;
    /** Until when a start without a response may still be executed. */
    private strayStartsUntil = -Infinity;
    /** Until when an acknowledgement without a response may still be executed. */
    private strayAcknowledgementsUntil = -Infinity;
    private isSent = false;
    private isFenceNeeded = false;

    /**
     * Reads what the next incarnation of the target may execute.
     * @param now - current time
     * @returns for how long starts and acknowledgements without a response may still be executed, milliseconds, and the
     *     number of the last end that the target has discarded
     */
    readStrayRequests(now: number): { startsMs: number; acknowledgementsMs: number; acknowledged: number } {
        return {
            startsMs: Math.max(0, this.strayStartsUntil - now),
            acknowledgementsMs: Math.max(0, this.strayAcknowledgementsUntil - now),
            acknowledged: this.acknowledged,
        };
    }

    /**
     * Records that listed ends are committed.
     * @param number - number of the last one
     * @param isListLong - whether the target lists so many ends that it may leave out others
     * @param now - current time
     */
    noteCommitted(number: number, isListLong: boolean, now: number): void {
        this.committed = Math.max(this.committed, number);
        this.isListLong = isListLong;
        if (this.isPending()) {
            this.heldSince ??= now;
        }
    }

    /** Records that another incarnation has responded, none of whose ends are committed. */
    noteOtherIncarnation(): void {
        this.committed = 0;
        this.acknowledged = 0;
        this.heldSince = undefined;
    }

    /**
     * Tells whether committed ends are not acknowledged. Until they are, a list does not wait for an end.
     * @returns false when there are none
     */
    isPending(): boolean {
        return this.committed > this.acknowledged;
    }

    /**
     * Finds the acknowledgement that may be sent now.
     * @param now - current time
     * @returns the number of the last end to discard; `undefined` while none may be sent
     */
    findDue(now: number): number | undefined {
        const isHeld = this.startsInFlight > 0 || (now < this.strayStartsUntil && !this.isUrgent(now));
        return this.isPending() && !this.isSent && !isHeld ? this.committed : undefined;
    }

    private isUrgent(now: number): boolean {
        return now - (this.heldSince ?? now) >= maxHeldMs || this.isListLong;
    }

    /** Records that an acknowledgement is sent. */
    noteSent(): void {
        this.isSent = true;
    }

    /**
     * Records that the acknowledgement in flight has ended.
     * @param number - the number that it carried
     * @param isExecuted - whether the target has confirmed it
     * @param mayBeLate - whether it may still be executed
     * @param now - current time
     */
    noteSettled(number: number, isExecuted: boolean, mayBeLate: boolean, now: number): void {
        this.isSent = false;
        if (isExecuted && number <= this.committed) {
            this.acknowledged = Math.max(this.acknowledged, number);
            this.isListLong = false;
            this.heldSince = undefined;
        }
        if (mayBeLate) {
            this.strayAcknowledgementsUntil = now + maxRequestDelayMs;
            this.isFenceNeeded = true;
        }
    }

    /**
     * Tells whether a start may be sent.
     * @param now - current time
     * @returns false while an acknowledgement is in flight, or has waited for so long that it is to follow the starts that are
     */
    isStartAllowed(now: number): boolean {
        return !this.isSent && !(this.isPending() && this.isUrgent(now));
    }

    /**
     * Takes note that a start is about to be sent.
     * @returns whether it needs a higher fencing token, as an acknowledgement without a response carries the present one
     */
    takeFence(): boolean {
        const isNeeded = this.isFenceNeeded;
        this.isFenceNeeded = false;
        return isNeeded;
    }

    /** Records that a start is sent. */
    noteStartSent(): void {
        this.startsInFlight += 1;
    }

    /**
     * Records that a start in flight has ended.
     * @param mayBeLate - whether it, or a copy of it, may still be executed
     * @param now - current time
     */
    noteStartSettled(mayBeLate: boolean, now: number): void {
        this.startsInFlight -= 1;
        if (mayBeLate) {
            this.noteStrayStarts(now + maxRequestDelayMs);
        }
    }

    /**
     * Records that starts of an earlier leader may still be executed.
     * @param until - until when
     */
    noteStrayStarts(until: number): void {
        this.strayStartsUntil = Math.max(this.strayStartsUntil, until);
    }
}
