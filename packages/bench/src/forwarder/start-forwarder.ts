import { Agent, createServer, request, type Server } from "node:http";

const maxSockets = 64;

/**
 * Starts a bare forwarder, the baseline for the cost of a request: no keys, no limits, no queues.
 * @param port - port on loopback
 * @param targets - addresses that take turns
 * @returns the server
 */
export function startForwarder(port: number, targets: readonly string[]): Server {
    const agent = new Agent({ keepAlive: true, maxSockets });
    let turn = 0;
    const server = createServer((incoming, response) => {
        const [host, targetPort] = (targets[turn++ % targets.length] ?? "").split(":");
        const outgoing = request({
            host,
            port: targetPort,
            method: incoming.method,
            path: incoming.url,
            headers: incoming.headers,
            agent,
        }, answer => {
            response.writeHead(answer.statusCode ?? 502, answer.headers);
            answer.pipe(response);
        });
        outgoing.on("error", () => response.destroy());
        incoming.pipe(outgoing);
    });
    return server.listen(port, "127.0.0.1");
}
