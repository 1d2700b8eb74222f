import { describe, expect, it } from "@jest/globals";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";

import { CallFailureKind } from "./call-failure-kind.js";
import type { HttpCall } from "./http-call.js";
import { HttpClient } from "./http-client.js";

function buildCall(call: Partial<HttpCall>): HttpCall {
    return {
        address: "127.0.0.1:9",
        method: "GET",
        path: "/",
        headers: {},
        body: undefined,
        timeoutMs: 1_000,
        ...call,
    };
}

describe("HttpClient", () => {
    // Node throws synchronously for each of these, which ended every keeper that led.
    it.each([
        ["a port above the range", { address: "127.0.0.1:99999" }],
        ["a negative port", { address: "127.0.0.1:-1" }],
        ["the port 0", { address: "127.0.0.1:0" }],
        ["no port", { address: "127.0.0.1" }],
        ["no address", { address: "" }],
        ["an octet above the range", { address: "256.0.0.1:80" }],
        ["a host that is no IP address", { address: "a host:80" }],
        ["a path that can't be sent", { path: "/a b\n" }],
        ["a header that can't be sent", { headers: { "daisylock-expected-instance": "é\n" } }],
        ["a method that can't be sent", { method: "G T" }],
    ])("fails as not sent for %s", async (_, call) => {
        const client = new HttpClient(1);
        const result = await client.send(buildCall(call));
        client.close();
        expect(result.isErr && result.error.kind).toBe(CallFailureKind.NotSent);
        expect(result.isErr && result.error.detail).not.toBe("");
        expect(result.isErr && result.error.isTimeout).toBe(false);
    });

    it("sends a request to an address that can be called", async () => {
        const server = createServer((request, response) => void response.end(request.url));
        await new Promise<void>(done => server.listen(0, "127.0.0.1", done));
        const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
        const client = new HttpClient(1);
        const result = await client.send(buildCall({ address, path: "/a" }));
        client.close();
        server.close();
        expect(result.isOk && [result.value.status, result.value.body.toString()]).toEqual([200, "/a"]);
    });
});
