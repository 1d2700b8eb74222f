import { request } from "node:http";
import Result from "true-myth/result";

import type { PlatformFailure } from "./platform-failure.js";
import { Platform } from "./platform.js";

const timeoutMs = 5_000;

/** Client of a platform with an HTTP interface: `PUT /v1/operations/ID` with a VM and an action. */
export class HttpPlatform extends Platform {
    /**
     * @param address - IP address and port
     * @param token - bearer token for the platform
     */
    constructor(private readonly address: string, private readonly token: string) {
        super();
    }

    override sendReboot(vm: string, operationId: string): Promise<Result<undefined, PlatformFailure>> {
        const content = Buffer.from(JSON.stringify({ vm, action: "reboot" }));
        return new Promise(resolve => {
            const clientRequest = request(`http://${this.address}/v1/operations/${operationId}`, {
                method: "PUT",
                timeout: timeoutMs,
                headers: {
                    "authorization": `Bearer ${this.token}`,
                    "content-type": "application/json",
                    "content-length": content.length,
                },
            }, response => {
                response.resume();
                const status = response.statusCode ?? 0;
                const isAccepted = status >= 200 && status < 300;
                resolve(
                    isAccepted
                        ? Result.ok(undefined)
                        : Result.err({ status, detail: "refused" }),
                );
            });
            clientRequest.on("timeout", () => clientRequest.destroy());
            clientRequest.on("error", error => resolve(Result.err({ status: 0, detail: error.message })));
            clientRequest.end(content);
        });
    }
}
