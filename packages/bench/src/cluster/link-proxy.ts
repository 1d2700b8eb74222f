import { connect, createServer, type Server, type Socket } from "node:net";

import { LinkState } from "./link-state.js";

/** A TCP proxy that can close its connections or leave them open without forwarding data, to simulate partitions. */
export class LinkProxy {
    /** Bytes forwarded in both directions. */
    forwardedBytes = 0;
    private state = LinkState.Open;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    /**
     * @param port - loopback port on which the proxy listens
     * @param destination - address (`host:port`) to which the proxy forwards
     */
    constructor(private readonly port: number, private readonly destination: string) {
        this.server = createServer(socket => this.handleConnection(socket));
    }

    /** Starts listening. */
    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(this.port, "127.0.0.1", resolve));
    }

    /** Stops listening and closes all connections. */
    stop(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /**
     * Sets the state of the link. `HalfOpen` affects only the connections that are open now; new
     * ones are forwarded.
     * @param state - the new state
     */
    setState(state: LinkState): void {
        this.state = state === LinkState.HalfOpen ? LinkState.Open : state;
        for (const socket of this.sockets) {
            if (state === LinkState.Cut) {
                socket.destroy();
            }
            else if (state === LinkState.HalfOpen) {
                socket.pause();
                socket.unpipe();
            }
        }
    }

    private handleConnection(socket: Socket): void {
        if (this.state === LinkState.Cut) {
            socket.destroy();
            return;
        }
        const [host = "", port = ""] = this.destination.split(":");
        const upstream = connect(Number(port), host);
        for (const [from, to] of [[socket, upstream], [upstream, socket]] as const) {
            this.sockets.add(from);
            from.pipe(to);
            from.on("data", (chunk: Buffer) => {
                this.forwardedBytes += chunk.length;
            });
            from.on("error", () => to.destroy());
            from.on("close", () => {
                this.sockets.delete(from);
                to.destroy();
            });
        }
    }
}
