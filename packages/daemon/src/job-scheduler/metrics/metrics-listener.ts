import type { IncomingMessage, ServerResponse } from "node:http";

import type { FaultListener } from "../../containment/fault-listener.js";
import { HttpWorker } from "../../http/http-worker.js";
import type { FleetMetrics } from "./fleet-metrics.js";

const metricsPath = "/metrics";
const limits = { max_header_bytes: 8_192, max_connections: 16, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };

/** Serves the metrics of this process over HTTP. */
export class MetricsListener extends HttpWorker {
    override readonly name = "metrics-listener";

    /**
     * @param address - address to listen on
     * @param metrics - metrics to serve
     * @param noteFault - called with each fault of a request
     */
    constructor(address: string, private readonly metrics: FleetMetrics, noteFault: FaultListener) {
        super(address, limits, noteFault);
    }

    protected override async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (request.method !== "GET" || request.url !== metricsPath) {
            response.writeHead(404).end();
            return;
        }
        const text = await this.metrics.describeAll();
        response.writeHead(200, { "content-type": "text/plain; version=0.0.4; charset=utf-8" }).end(text);
    }
}
