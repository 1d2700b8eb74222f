import { Agent } from "node:http";

const idleTimeoutMs = 20_000;

/** Connections to targets, kept open between requests. */
export class TargetConnections {
    private readonly agents = new Map<string, Agent>();

    /**
     * @param maxSockets - most connections to one target
     */
    constructor(private readonly maxSockets: number) {}

    /**
     * Returns the connections to a target, made on first use.
     * @param address - address of the target
     * @returns an agent for requests
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
     * Stops using the open connections to a target: something between the two ends may have lost track of them. Requests
     * under way keep theirs.
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

    /** Closes the connections that are not in use. */
    close(): void {
        for (const address of [...this.agents.keys()]) {
            this.drop(address);
        }
    }
}
