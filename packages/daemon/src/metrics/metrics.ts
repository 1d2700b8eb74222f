import { StatsD } from "hot-shots";

import { parseAddress } from "../settings/parse-address.js";
import type { MetricName } from "./metric-name.js";

type Tags = Readonly<Record<string, string>>;

/** Emits metrics over StatsD. Without a server address, every method does nothing. */
export class Metrics {
    private readonly client: StatsD | undefined;

    /**
     * @param address - address of the StatsD server; `undefined` disables metrics
     * @param process - name of this process, sent as a tag
     * @param zone - availability zone of this process, sent as a tag
     */
    constructor(address: string | undefined, process: string, zone: string) {
        if (address === undefined) {
            return;
        }
        const { host, port } = parseAddress(address);
        this.client = new StatsD({
            host,
            port,
            prefix: "daisylock.",
            globalTags: { process, zone },
            cacheDns: false,
            // Metrics are best-effort: a network error must not affect the daemon.
            errorHandler: () => undefined,
        });
    }

    /**
     * Increments a counter.
     * @param name - the metric
     * @param tags - tags of low cardinality
     * @param count - the increment
     */
    addCount(name: MetricName, tags: Tags = {}, count = 1): void {
        this.client?.increment(name, count, tags);
    }

    /**
     * Records a duration.
     * @param name - the metric
     * @param milliseconds - the duration
     * @param tags - tags of low cardinality
     */
    recordTime(name: MetricName, milliseconds: number, tags: Tags = {}): void {
        this.client?.timing(name, milliseconds, tags);
    }

    /**
     * Sets a gauge.
     * @param name - the metric
     * @param value - current value
     */
    setGauge(name: MetricName, value: number): void {
        this.client?.gauge(name, value);
    }

    /** Flushes buffered metrics and closes the socket. */
    close(): void {
        this.client?.close();
    }
}
