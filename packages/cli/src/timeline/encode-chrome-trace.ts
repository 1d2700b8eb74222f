import type { EventRecord } from "@daisylock/core/events/event-record.js";

/**
 * Encodes events as instants in the Chrome trace event format, one row per process.
 * @param events - the events in causal order
 * @returns JSON text
 */
export function encodeChromeTrace(events: readonly EventRecord[]): string {
    const processes = [...new Set(events.map(event => event.process))];
    const names = processes.map((process, pid) => ({
        name: "process_name",
        ph: "M",
        pid,
        args: { name: process },
    }));
    const instants = events.map(({ time, process, kind, ...args }) => ({
        name: kind,
        ph: "i",
        s: "p",
        // Microseconds. The counter keeps events of one millisecond in causal order.
        ts: time.wallMs * 1_000 + time.counter,
        pid: processes.indexOf(process),
        tid: 0,
        args,
    }));
    return JSON.stringify({ traceEvents: [...names, ...instants] });
}
