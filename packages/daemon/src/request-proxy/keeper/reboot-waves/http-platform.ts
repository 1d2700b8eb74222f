import { request } from "node:http";
import Result from "true-myth/result";

import type { PlatformFailure } from "./platform-failure.js";
import { Platform } from "./platform.js";

const timeoutMs = 5_000;

/** A platform with an HTTP interface: PUT /v1/operations/ID with a VM and an action. */
export class HttpPlatform extends Platform {
    /**
     * @param address - IP number and port
     * @param token - token that the platform expects as bearer
     */
    constructor(private readonly address: string, private readonly token: string) {
        super();
    }

    override sendReboot(vm: string, operationId: string): Promise<Result<undefined, PlatformFailure>> {
        const content = Buffer.from(JSON.stringify({ vm, action: "reboot" }));
        return new Promise(resolve => {
            const outgoing = request(`http://${this.address}/v1/operations/${operationId}`, {
                method: "PUT",
                timeout: timeoutMs,
                headers: {
                    "authorization": `Bearer ${this.token}`,
                    "content-type": "application/json",
                    "content-length": content.length,
                },
            }, incoming => {
                incoming.resume();
                const status = incoming.statusCode ?? 0;
                const isTaken = status >= 200 && status < 300;
                resolve(isTaken ? Result.ok(undefined) : Result.err({ status, detail: "refused" }));
            });
            outgoing.on("timeout", () => outgoing.destroy());
            outgoing.on("error", error => resolve(Result.err({ status: 0, detail: error.message })));
            outgoing.end(content);
        });
    }
}
