import csp from "js-csp";

/** A bounded channel of typed messages with one receiving goroutine. */
export class Mailbox<Message> {
    private readonly channel;

    /**
     * @param capacity - maximum number of queued messages
     */
    constructor(capacity: number) {
        this.channel = csp.chan<Message>(csp.buffers.fixed(capacity));
    }

    /**
     * Enqueues a message without waiting.
     * @param message - the message
     * @returns false if the message was discarded because the mailbox is full or closed
     */
    put(message: Message): boolean {
        return !this.channel.isClosed() && csp.offer(this.channel, message);
    }

    /**
     * Waits for the next message. Call it with `yield*` in a goroutine.
     * @returns the message, or `undefined` once the mailbox is closed and empty
     */
    *take(): Generator<unknown, Message | undefined, unknown> {
        const value = yield this.channel;
        return value === csp.CLOSED ? undefined : value as Message;
    }

    /**
     * Takes the next message without waiting.
     * @returns the message, or `undefined` if none is queued
     */
    takeIfAvailable(): Message | undefined {
        const value = csp.poll(this.channel);
        return value === csp.NO_VALUE || value === csp.CLOSED ? undefined : value as Message;
    }

    /** Closes the mailbox. Messages that are already queued can still be taken. */
    close(): void {
        this.channel.close();
    }
}
