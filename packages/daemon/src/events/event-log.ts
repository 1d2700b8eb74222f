import { computeNextTimestamp } from "@daisylock/core/events/compute-next-timestamp.js";
import type { EventKind } from "@daisylock/core/events/event-kind.js";
import type { EventRecord } from "@daisylock/core/events/event-record.js";
import type { HybridTimestamp } from "@daisylock/core/events/hybrid-timestamp.js";

import type { Clock } from "../clock/clock.js";

/** Ring buffer of the most recent events of this process. */
export class EventLog {
    private readonly ring: EventRecord[] = [];
    private nextIndex = 0;
    private droppedCount = 0;
    private lastTime: HybridTimestamp = { wallMs: 0, counter: 0 };
    private readonly listeners: ((event: EventRecord) => void)[] = [];

    /**
     * @param process - name of this process
     * @param zone - availability zone of this process
     * @param clock - source of event times
     * @param capacity - maximum number of retained events
     */
    constructor(
        private readonly process: string,
        private readonly zone: string,
        private readonly clock: Clock,
        private readonly capacity: number,
    ) {}

    /**
     * Records an event with the current hybrid time and passes it to the listeners.
     * @param kind - what happened
     * @param fields - the objects that the event concerns, and details
     */
    record(kind: EventKind, fields: Omit<EventRecord, "time" | "process" | "zone" | "kind"> = {}): void {
        const event = { time: this.readTime(), process: this.process, zone: this.zone, kind, ...fields };
        this.listeners.forEach(listener => listener(event));
        if (this.ring.length < this.capacity) {
            this.ring.push(event);
            return;
        }
        this.ring[this.nextIndex] = event;
        this.nextIndex = (this.nextIndex + 1) % this.capacity;
        this.droppedCount += 1;
    }

    /**
     * Adds a listener for new events.
     * @param listener - called with each event as it is recorded
     */
    addListener(listener: (event: EventRecord) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Advances the hybrid logical clock and returns its time, for an event or an outgoing message.
     * @returns the new hybrid time
     */
    readTime(): HybridTimestamp {
        this.lastTime = computeNextTimestamp(this.lastTime, this.clock.readWall());
        return this.lastTime;
    }

    /**
     * Advances the hybrid logical clock past the time of a received message, so that later events of this process are
     * ordered after it.
     * @param time - hybrid time of the sender
     */
    mergeTime(time: HybridTimestamp): void {
        this.lastTime = computeNextTimestamp(this.lastTime, this.clock.readWall(), time);
    }

    /**
     * Lists the retained events in the order in which they were recorded.
     * @param sinceMs - earliest wall time to include, milliseconds since 1970
     * @param limit - maximum number of events; the newest are returned
     * @returns the events, oldest first
     */
    listSince(sinceMs: number, limit: number): EventRecord[] {
        const ordered = [...this.ring.slice(this.nextIndex), ...this.ring.slice(0, this.nextIndex)];
        return ordered.filter(event => event.time.wallMs >= sinceMs).slice(-limit);
    }

    /**
     * Counts the events that newer ones have overwritten.
     * @returns number of events
     */
    countDropped(): number {
        return this.droppedCount;
    }
}
