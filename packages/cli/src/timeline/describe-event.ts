import type { EventRecord } from "@daisylock/core/events/event-record.js";

/**
 * Formats an event as one line of text.
 * @param event - the event
 * @returns the line: time of day in UTC with the logical counter, zone and process, kind, then the other fields
 */
export function describeEvent(event: EventRecord): string {
    const { time, process, zone, kind, ...fields } = event;
    const timestamp = `${new Date(time.wallMs).toISOString().slice(11, 23)}+${time.counter}`;
    const fieldTexts = Object.entries(fields).map(([name, value]) => `${name}=${String(value)}`).join(" ");
    return `${timestamp.padEnd(16)} ${zone}/${process.padEnd(12)} ${kind.padEnd(20)} ${fieldTexts}`.trimEnd();
}
