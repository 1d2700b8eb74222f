import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import { afterEach, describe, expect, it } from "@jest/globals";
import { createServer as createHttpServer, type ServerResponse } from "node:http";
import { type AddressInfo, createServer, type Server } from "node:net";

import { SystemClock } from "../../../clock/system-clock.js";
import type { CallerRequest } from "../callers/caller-request.js";
import { AttemptEnd } from "./attempt-end.js";
import { TargetAttempt } from "./target-attempt.js";

const dispatchId = "e1@1/1";
const servers: Server[] = [];

async function startListening(server: Server): Promise<string> {
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a target that sends the same bytes to each request. */
function startTarget(bytes: string): Promise<string> {
    return startListening(createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.end(bytes));
    }));
}

/** Sends a request to a target for a caller that is connected. */
async function runAttempt(address: string) {
    const clock = new SystemClock();
    const faults: unknown[] = [];
    let serve: (response: ServerResponse) => void = () => undefined;
    const accepted = new Promise<ServerResponse>(resolve => {
        serve = resolve;
    });
    const caller = await startListening(createHttpServer((_request, response) => serve(response)));
    const answer = fetch(`http://${caller}/`).then(({ status }) => status, () => undefined);
    const response = await accepted;
    const call = { id: "r1", method: "GET", path: "/", headers: {}, bodyBytes: 0, isUnrepeatable: false };
    const attempt = new TargetAttempt({
        call: { ...call, deadlineAt: clock.readMonotonic() + 2_000 } as unknown as CallerRequest,
        body: { kind: "buffered", content: Buffer.alloc(0) },
        response,
        team: "a",
        address,
        dispatchId,
        agent: undefined,
        mayRetryOnOtherTarget: false,
        connectTimeoutMs: 500,
        bodyStallMs: 1_000,
        maxBodyBytes: 1_000,
        clock,
        noteFault: fault => faults.push(fault),
    });
    const result = await attempt.run();
    response.destroy();
    await answer;
    return { result, faults };
}

describe("TargetAttempt", () => {
    afterEach(() => {
        servers.splice(0).forEach(server => server.close());
    });

    // Both threw: the first kept the slot for ever, the second ended the process.
    it("counts as not run for an address that can't be called", async () => {
        const { result, faults } = await runAttempt("127.0.0.1:99999");
        expect(result).toMatchObject({ end: AttemptEnd.NotRun, isStillRunning: false });
        expect(faults).toMatchObject([{ work: "target-request", subject: "127.0.0.1:99999" }]);
    });

    it("ends without a response for one whose status can't be forwarded", async () => {
        const headers = `${HeaderName.DispatchId}: ${dispatchId}\r\ncontent-length: 0\r\n`;
        const address = await startTarget(`HTTP/1.1 099 Odd\r\n${headers}\r\n`);
        const { result, faults } = await runAttempt(address);
        expect(result).toMatchObject({ end: AttemptEnd.Unknown });
        expect(faults).toMatchObject([{ work: "target-request", subject: address }]);
    });
});
