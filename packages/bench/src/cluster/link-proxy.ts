import { connect, createServer, type Server, type Socket } from "node:net";

import { LinkState } from "./link-state.js";

/** A TCP link that can be cut, or left open and silent. */
export class LinkProxy {
    /** Bytes carried in both directions. */
    carriedBytes = 0;
    private state = LinkState.Open;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    /**
     * @param port - port on loopback where the link begins
     * @param destination - address where it leads
     */
    constructor(private readonly port: number, private readonly destination: string) {
        this.server = createServer(socket => this.handleConnection(socket));
    }

    /** Starts to accept. */
    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(this.port, "127.0.0.1", resolve));
    }

    /** Closes the link for good. */
    stop(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    /**
     * Changes what the link does. Silence holds for the connections that are open now; new ones work.
     * @param state - the state
     */
    setState(state: LinkState): void {
        this.state = state === LinkState.Silent ? LinkState.Open : state;
        for (const socket of this.sockets) {
            if (state === LinkState.Cut) {
                socket.destroy();
            }
            else if (state === LinkState.Silent) {
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
        const onward = connect(Number(port), host);
        for (const [from, to] of [[socket, onward], [onward, socket]] as const) {
            this.sockets.add(from);
            from.pipe(to);
            from.on("data", (chunk: Buffer) => {
                this.carriedBytes += chunk.length;
            });
            from.on("error", () => to.destroy());
            from.on("close", () => {
                this.sockets.delete(from);
                to.destroy();
            });
        }
    }
}
