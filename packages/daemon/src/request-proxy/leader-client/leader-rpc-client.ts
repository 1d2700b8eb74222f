import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type Result from "true-myth/result";

import type { Clock } from "../../clock/clock.js";
import type { PeerCalls } from "../../peer/peer-calls.js";
import type { PeerClients } from "../../peer/peer-clients.js";
import type { PeerFailure } from "../../peer/peer-failure.js";

const retryDelayMs = 50;
const attemptTimeoutMs = 1_200;

type LeaderCall = "sync" | "propose" | "operate";

/** Client of the leader. Sends calls through any keeper, or through another entry when no keeper is reachable. */
export class LeaderRpcClient {
    private currentUpstream = 0;
    private readonly upstreams: readonly string[];

    /**
     * @param clients - connections to other processes
     * @param clock - clock for timeouts and retry delays
     * @param keepers - peer addresses of the keepers
     * @param relays - peer addresses of entries that forward calls to keepers
     */
    constructor(
        private readonly clients: PeerClients,
        private readonly clock: Clock,
        keepers: readonly string[],
        relays: readonly string[],
    ) {
        this.upstreams = [...new Set([...keepers, ...relays])];
    }

    /**
     * Sends a call once, to the upstream that last replied. After a failure, later calls go to the next upstream.
     * @param name - the call
     * @param request - its request
     * @param timeoutMs - timeout of the call, milliseconds
     * @returns the reply, or how the call failed
     */
    async sendOnce<Name extends LeaderCall>(
        name: Name,
        request: PeerCalls[Name]["request"],
        timeoutMs: number,
    ): Promise<Result<PeerCalls[Name]["reply"], PeerFailure>> {
        const position = this.currentUpstream;
        const address = this.upstreams[position % this.upstreams.length] ?? "";
        const result = await this.clients.send(address, name, request, timeoutMs);
        if (result.isErr && this.currentUpstream === position) {
            this.currentUpstream = (position + 1) % this.upstreams.length;
        }
        return result;
    }

    /**
     * Sends a call and retries it through each upstream in turn until one replies. Gives up after a failed attempt
     * that started with at most `attemptTimeoutMs / 2` left. The request must be idempotent.
     * @param name - the call
     * @param request - its request
     * @param timeoutMs - timeout over all attempts, milliseconds
     * @returns the reply, or the last failure
     */
    async send<Name extends LeaderCall>(
        name: Name,
        request: PeerCalls[Name]["request"],
        timeoutMs: number,
    ): Promise<Result<PeerCalls[Name]["reply"], PeerFailure>> {
        const deadline = this.clock.readMonotonic() + timeoutMs;
        for (;;) {
            const remainingMs = deadline - this.clock.readMonotonic();
            const result = await this.sendOnce(name, request, Math.max(1, Math.min(remainingMs, attemptTimeoutMs)));
            if (result.isOk || remainingMs <= attemptTimeoutMs / 2) {
                return result;
            }
            await new Promise<void>(resolve => this.clock.schedule(retryDelayMs, resolve));
        }
    }

    /**
     * Proposes a command for the replicated log.
     * @param command - the command, idempotent by its id
     * @param timeoutMs - timeout over all attempts, milliseconds
     * @returns its result; after a failure the command may or may not be committed
     */
    async sendCommand<Command extends ControlCommand>(
        command: Command,
        timeoutMs: number,
    ): Promise<Result<CommandResults[Command["kind"]], PeerFailure>> {
        const reply = await this.send("propose", { command: JSON.stringify(command), hops: 0 }, timeoutMs);
        return reply.map(({ result }) => JSON.parse(result) as CommandResults[Command["kind"]]);
    }
}
