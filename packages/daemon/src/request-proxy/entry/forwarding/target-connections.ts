import { Agent } from "node:http";

/** Time after which an idle connection is closed, milliseconds. */
const idleTimeoutMs = 20_000;

/** Kept-alive connections to targets. */
export class TargetConnections {
    private readonly agents = new Map<string, Agent>();

    /**
     * @param maxSockets - maximum number of connections to one target
     */
    constructor(private readonly maxSockets: number) {}

    /**
     * Returns the agent for the connections to a target, which is created on first use.
     * @param address - address of the target
     * @returns the agent
     */
    findOrCreateAgent(address: string): Agent {
        let agent = this.agents.get(address);
        if (agent === undefined) {
            agent = new Agent({
                keepAlive: true,
                maxSockets: this.maxSockets,
                maxFreeSockets: this.maxSockets,
                scheduling: "lifo",
                timeout: idleTimeoutMs,
            });
            this.agents.set(address, agent);
        }
        return agent;
    }

    /**
     * Stops reusing the open connections to a target, as a device on the network path may have lost their state.
     * Requests in flight keep their connections.
     * @param address - address of the target
     */
    drop(address: string): void {
        const agent = this.agents.get(address);
        this.agents.delete(address);
        if (agent === undefined) {
            return;
        }
        agent.maxFreeSockets = 0;
        for (const sockets of Object.values(agent.freeSockets)) {
            sockets?.forEach(socket => socket.destroy());
        }
    }

    /** Closes the idle connections to all targets. */
    close(): void {
        for (const address of [...this.agents.keys()]) {
            this.drop(address);
        }
    }
}
