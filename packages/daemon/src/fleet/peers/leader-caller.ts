import type { FleetCalls } from "@daisylock/protocol/fleet/fleet-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import Result from "true-myth/result";

import { CallFailureKind } from "../../calls/call-failure-kind.js";
import type { CallFailure } from "../../calls/call-failure.js";
import type { HttpCaller } from "../../calls/http-caller.js";
import { peerPaths } from "./peer-paths.js";

/** Longest wait for one process, milliseconds. */
const maxAttemptMs = 900;
/** Processes that one call asks before it gives up. */
const maxAttempts = 6;
/** Wait before processes are asked again when none of them knows a leader, milliseconds. */
const pauseMs = 40;

/** Finds the leader among the keepers and calls it. */
export class LeaderCaller {
    private leader: string | undefined;
    private next = 0;

    /**
     * @param caller - the connections
     * @param seeds - peer addresses of some keepers
     */
    constructor(private readonly caller: HttpCaller, private readonly seeds: readonly string[]) {}

    /**
     * Reads where the leader was last found.
     * @returns its peer address, or `undefined`
     */
    readLeader(): string | undefined {
        return this.leader;
    }

    /**
     * Calls the leader, wherever it is.
     * @param name - the call
     * @param request - its request; sending it again must not change its meaning
     * @param timeoutMs - milliseconds for all attempts together
     * @returns the reply, or whether the call may have been carried out
     */
    async send<Name extends keyof FleetCalls>(
        name: Name,
        request: FleetCalls[Name]["request"],
        timeoutMs: number,
    ): Promise<Result<FleetCalls[Name]["reply"], CallFailure>> {
        const endsAt = performance.now() + timeoutMs;
        let mayHaveRun = false;
        let detail = "no leader known";
        for (let attempt = 0; attempt < maxAttempts; attempt++) {
            const leftMs = Math.min(maxAttemptMs, endsAt - performance.now());
            if (leftMs <= 0) {
                break;
            }
            const address = this.leader ?? this.pickSeed();
            const reply = await this.sendTo(address, name, request, leftMs);
            if (reply.isOk && reply.value.isLeader) {
                this.leader = address;
                return Result.ok(reply.value.value);
            }
            if (reply.isOk && !reply.value.isLeader) {
                mayHaveRun ||= reply.value.mayHaveRun;
                await this.noteNoLeader(address, reply.value.leader);
            }
            else if (reply.isErr) {
                mayHaveRun ||= reply.error.kind === CallFailureKind.Unanswered;
                detail = `${address}: ${reply.error.detail}`;
                this.leader = undefined;
            }
        }
        const kind = mayHaveRun ? CallFailureKind.Unanswered : CallFailureKind.NotSent;
        return Result.err({ kind, detail });
    }

    private async noteNoLeader(address: string, hint: string | undefined): Promise<void> {
        if (hint !== undefined && hint !== address) {
            this.leader = hint;
            return;
        }
        this.leader = undefined;
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }

    private pickSeed(): string {
        const seed = this.seeds[this.next % this.seeds.length] ?? "";
        this.next += 1;
        return seed;
    }

    private async sendTo<Name extends keyof FleetCalls>(
        address: string,
        name: Name,
        request: FleetCalls[Name]["request"],
        timeoutMs: number,
    ): Promise<Result<LeaderReply<FleetCalls[Name]["reply"]>, CallFailure>> {
        const reply = await this.caller.send({
            address,
            method: "POST",
            path: `${peerPaths.call}${name}`,
            headers: { "content-type": "application/json" },
            body: Buffer.from(JSON.stringify(request)),
            timeoutMs,
        });
        return reply.andThen(({ status, body }) =>
            status === 200
                ? Result.ok(JSON.parse(body.toString()) as LeaderReply<FleetCalls[Name]["reply"]>)
                : Result.err({ kind: CallFailureKind.Unanswered, detail: `status ${status}` })
        );
    }
}
