import { StatsD } from "hot-shots";

import { parseAddress } from "../settings/parse-address.js";
import type { MetricName } from "./metric-name.js";

type Tags = Readonly<Record<string, string>>;

/** Sends metrics by StatsD; does nothing without an address. */
export class Metrics {
    private readonly client: StatsD | undefined;

    /**
     * @param address - address of the StatsD server, if any
     * @param process - tag that names this process
     * @param zone - tag that names its availability zone
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
            // A lost metric is not worth a failure.
            errorHandler: () => undefined,
        });
    }

    /**
     * Counts something that happened.
     * @param name - the metric
     * @param tags - bounded tags
     */
    addCount(name: MetricName, tags: Tags = {}): void {
        this.client?.increment(name, tags);
    }

    /**
     * Records a duration.
     * @param name - the metric
     * @param milliseconds - the duration
     * @param tags - bounded tags
     */
    recordTime(name: MetricName, milliseconds: number, tags: Tags = {}): void {
        this.client?.timing(name, milliseconds, tags);
    }

    /**
     * Sets a level.
     * @param name - the metric
     * @param value - its value now
     */
    setGauge(name: MetricName, value: number): void {
        this.client?.gauge(name, value);
    }

    /** Sends what is buffered and closes the socket. */
    close(): void {
        this.client?.close();
    }
}
