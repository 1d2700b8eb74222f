import { Agent, createServer, request, type Server } from "node:http";

const maxSockets = 64;

/**
 * Starts a minimal HTTP forwarder without keys, limits or queues. It is the baseline for the cost of a request through
 * an entry.
 * @param port - port on the loopback interface
 * @param targets - target addresses as `host:port`, used in round-robin order
 * @returns the listening server
 */
export function startForwarder(port: number, targets: readonly string[]): Server {
    const agent = new Agent({ keepAlive: true, maxSockets });
    let nextTarget = 0;
    const server = createServer((incoming, response) => {
        const [host, targetPort] = (targets[nextTarget++ % targets.length] ?? "").split(":");
        const outgoing = request({
            host,
            port: targetPort,
            method: incoming.method,
            path: incoming.url,
            headers: incoming.headers,
            agent,
        }, targetResponse => {
            response.writeHead(targetResponse.statusCode ?? 502, targetResponse.headers);
            targetResponse.pipe(response);
        });
        outgoing.on("error", () => response.destroy());
        incoming.pipe(outgoing);
    });
    return server.listen(port, "127.0.0.1");
}
