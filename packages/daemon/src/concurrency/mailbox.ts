import csp from "js-csp";

/** A bounded channel of typed messages to one goroutine. */
export class Mailbox<Message> {
    private readonly channel;

    /**
     * @param capacity - most messages that may wait
     */
    constructor(capacity: number) {
        this.channel = csp.chan<Message>(csp.buffers.fixed(capacity));
    }

    /**
     * Puts a message without waiting.
     * @param message - the message
     * @returns false when the mailbox is full or closed and the message was not taken
     */
    put(message: Message): boolean {
        return !this.channel.isClosed() && csp.offer(this.channel, message);
    }

    /**
     * Takes the next message; use with `yield*` in a goroutine.
     * @returns the message, or `undefined` once the mailbox is closed and empty
     */
    *take(): Generator<unknown, Message | undefined, unknown> {
        const value = yield csp.take(this.channel);
        return value === csp.CLOSED ? undefined : value as Message;
    }

    /**
     * Takes a message that already waits.
     * @returns the message, or `undefined` when none waits
     */
    takeNow(): Message | undefined {
        const value = csp.poll(this.channel);
        return value === csp.NO_VALUE || value === csp.CLOSED ? undefined : value as Message;
    }

    /** Closes the mailbox; waiting messages can still be taken. */
    close(): void {
        this.channel.close();
    }
}
