import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { type AddressInfo, createServer } from "node:net";

import { runGoroutine } from "../../concurrency/run-goroutine.js";
import { DecisionKind } from "../logging/decision-kind.js";
import { FleetMetrics } from "./fleet-metrics.js";
import { MetricsListener } from "./metrics-listener.js";

async function findFreePort(): Promise<number> {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    return port;
}

describe("MetricsListener", () => {
    let base: string;
    let listener: MetricsListener;
    let metrics: FleetMetrics;
    const faults: unknown[] = [];
    beforeAll(async () => {
        const address = `127.0.0.1:${await findFreePort()}`;
        base = `http://${address}`;
        metrics = new FleetMetrics();
        metrics.noteDecision(DecisionKind.JobAccepted, {});
        listener = new MetricsListener(address, metrics, fault => faults.push(fault));
        runGoroutine(() => listener.run(), () => undefined);
        await new Promise(resolve => setTimeout(resolve, 100));
    });
    afterAll(() => listener.stop());

    it("serves the metrics in the Prometheus text format", async () => {
        const response = await fetch(`${base}/metrics`);
        expect(response.status).toBe(200);
        expect(response.headers.get("content-type")).toContain("text/plain");
        expect(await response.text()).toContain("daisylock_decisions_total{kind=\"job-accepted\"} 1");
    });

    it("responds with 404 to other paths and methods", async () => {
        expect((await fetch(`${base}/other`)).status).toBe(404);
        expect((await fetch(`${base}/metrics`, { method: "POST" })).status).toBe(404);
    });

    it("closes the connection and notes the cause when serving a request fails, and serves the next one", async () => {
        const describeAll = metrics.describeAll.bind(metrics);
        metrics.describeAll = () => Promise.reject(new TypeError("broken"));
        await expect(fetch(`${base}/metrics`)).rejects.toThrow();
        metrics.describeAll = describeAll;
        expect(faults).toMatchObject([{ work: "http-request", subject: "GET /metrics" }]);
        expect((await fetch(`${base}/metrics`)).status).toBe(200);
    });
});
