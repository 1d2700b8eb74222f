import { computeNextTimestamp } from "@daisylock/core/events/compute-next-timestamp.js";
import type { EventKind } from "@daisylock/core/events/event-kind.js";
import type { EventRecord } from "@daisylock/core/events/event-record.js";
import type { HybridTimestamp } from "@daisylock/core/events/hybrid-timestamp.js";

import type { Clock } from "../clock/clock.js";

/** The newest events of this process, in bounded memory. */
export class EventLog {
    private readonly ring: EventRecord[] = [];
    private next = 0;
    private droppedCount = 0;
    private lastTime: HybridTimestamp = { wallMs: 0, counter: 0 };
    private readonly listeners: ((event: EventRecord) => void)[] = [];

    /**
     * @param process - name of this process
     * @param zone - its availability zone
     * @param clock - time of events
     * @param capacity - events kept
     */
    constructor(
        private readonly process: string,
        private readonly zone: string,
        private readonly clock: Clock,
        private readonly capacity: number,
    ) {}

    /**
     * Records an event.
     * @param kind - what happened
     * @param fields - to what
     */
    record(kind: EventKind, fields: Omit<EventRecord, "time" | "process" | "zone" | "kind"> = {}): void {
        const event = { time: this.readTime(), process: this.process, zone: this.zone, kind, ...fields };
        this.listeners.forEach(listener => listener(event));
        if (this.ring.length < this.capacity) {
            this.ring.push(event);
            return;
        }
        this.ring[this.next] = event;
        this.next = (this.next + 1) % this.capacity;
        this.droppedCount += 1;
    }

    /**
     * Adds a listener.
     * @param listener - called with each event
     */
    addListener(listener: (event: EventRecord) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Advances and reads the hybrid time, to be sent with a message.
     * @returns the time
     */
    readTime(): HybridTimestamp {
        this.lastTime = computeNextTimestamp(this.lastTime, this.clock.readWall());
        return this.lastTime;
    }

    /**
     * Notes the time that came with a message, so that later events here come after it.
     * @param time - the sender's time
     */
    mergeTime(time: HybridTimestamp): void {
        this.lastTime = computeNextTimestamp(this.lastTime, this.clock.readWall(), time);
    }

    /**
     * Lists events in order.
     * @param sinceMs - wall time from which on
     * @param limit - most events to return, the newest ones
     * @returns the events
     */
    listSince(sinceMs: number, limit: number): EventRecord[] {
        const ordered = [...this.ring.slice(this.next), ...this.ring.slice(0, this.next)];
        return ordered.filter(event => event.time.wallMs >= sinceMs).slice(-limit);
    }

    /**
     * Counts the events that the ring no longer holds.
     * @returns number of events
     */
    countDropped(): number {
        return this.droppedCount;
    }
}
