import { KeeperReachability } from "@daisylock/core/reachability/keeper-reachability.js";
import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import Result from "true-myth/result";

import type { Clock } from "../../clock/clock.js";
import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { CallFailure } from "../../http-client/call-failure.js";
import type { HttpClient } from "../../http-client/http-client.js";
import { peerPaths } from "./peer-paths.js";

/** Longest wait for one process, milliseconds; a commit takes a few tens. */
const maxAttemptMs = 600;
/** Longest wait for a leader while most keepers answer, milliseconds: the time of an election, and of a restart. */
const maxElectionMs = 1_300;
/** Time for a keeper to say whether it leads, milliseconds. */
const discoveryTimeoutMs = 300;
/** Wait before the keepers are asked again when none of them leads, milliseconds. */
const retryDelayMs = 70;

type Reply<Name extends keyof LeaderCalls> = LeaderReply<LeaderCalls[Name]["reply"]>;

/**
 * Finds the leader among the keepers and calls it. Calls wait for an election while most keepers answer, and fail at once
 * while most are silent.
 */
export class LeaderClient {
    private leader: string | undefined;
    private discovery: Promise<void> | undefined;
    private readonly reachability: KeeperReachability;
    /** Peer addresses of the keepers that vote, as far as they are known. */
    private voters: readonly string[];

    /**
     * @param http - the connections
     * @param seeds - peer addresses of some keepers
     * @param clock - time
     */
    constructor(
        private readonly http: HttpClient,
        private seeds: readonly string[],
        private readonly clock: Clock,
    ) {
        this.reachability = new KeeperReachability(seeds);
        this.voters = seeds;
    }

    /**
     * Sets which keepers are told by the settings; these may be all that is left after the others were replaced.
     * @param seeds - peer addresses
     */
    setSeeds(seeds: readonly string[]): void {
        this.seeds = seeds;
    }

    /**
     * Notes which keepers vote.
     * @param voters - peer addresses, from the leader
     */
    setVoters(voters: readonly string[]): void {
        this.voters = voters;
        this.reachability.setKeepers(voters);
    }

    /**
     * Reads where the leader was last found.
     * @returns its peer address, or `undefined`
     */
    readLeader(): string | undefined {
        return this.leader;
    }

    /**
     * Tells whether most keepers are silent.
     * @returns true when no leader can be reached from here
     */
    isQuorumUnreachable(): boolean {
        return this.leader === undefined && this.reachability.isQuorumUnreachable(this.clock.readMonotonic());
    }

    /**
     * Asks all known keepers once whether they lead, unless the leader is known. One round at a time serves all who wait.
     * @returns resolves when a leader was found, or when none of those that answered leads
     */
    updateLeader(): Promise<void> {
        if (this.leader !== undefined) {
            return Promise.resolve();
        }
        this.discovery ??= this.runDiscovery().finally(() => {
            this.discovery = undefined;
        });
        return this.discovery;
    }

    /**
     * Calls the leader, wherever it is.
     * @param name - the call
     * @param request - its request; sending it again must not change its meaning
     * @param timeoutMs - milliseconds for all attempts together
     * @returns the reply, or whether the call may have been carried out
     */
    async send<Name extends keyof LeaderCalls>(
        name: Name,
        request: LeaderCalls[Name]["request"],
        timeoutMs: number,
    ): Promise<Result<LeaderCalls[Name]["reply"], CallFailure>> {
        const startedAt = this.clock.readMonotonic();
        const endsAt = startedAt + timeoutMs;
        const searchUntil = Math.min(endsAt, startedAt + maxElectionMs);
        let mayHaveRun = false;
        let detail = "no time left";
        let isTimeout = false;
        for (;;) {
            const address = await this.findLeader(searchUntil);
            const leftMs = Math.min(maxAttemptMs, endsAt - this.clock.readMonotonic());
            if (address === undefined || leftMs <= 0) {
                detail = this.isQuorumUnreachable()
                    ? `most keepers are silent; ${detail}`
                    : `no leader in time; ${detail}`;
                break;
            }
            const reply = await this.sendTo(address, name, request, leftMs);
            if (reply.isOk && reply.value.isLeader) {
                this.leader = address;
                return Result.ok(reply.value.value);
            }
            if (reply.isErr) {
                mayHaveRun ||= reply.error.kind === CallFailureKind.Unanswered;
                detail = `${address}: ${reply.error.detail}`;
                isTimeout = reply.error.isTimeout;
            }
            else {
                mayHaveRun ||= !reply.value.isLeader && reply.value.mayHaveRun;
                detail = `${address} does not lead`;
            }
            this.dropLeader(address);
            if (reply.isOk) {
                await this.waitRetryDelay();
            }
            if (reply.isOk && this.clock.readMonotonic() >= searchUntil) {
                break;
            }
        }
        const kind = mayHaveRun ? CallFailureKind.Unanswered : CallFailureKind.NotSent;
        return Result.err({ kind, detail, isTimeout });
    }

    /** Another call may have found the next leader meanwhile. */
    private dropLeader(address: string): void {
        if (this.leader === address) {
            this.leader = undefined;
        }
    }

    private async findLeader(until: number): Promise<string | undefined> {
        for (let isFirst = true;; isFirst = false) {
            const now = this.clock.readMonotonic();
            if (this.leader !== undefined || this.isQuorumUnreachable() || (now >= until && !isFirst)) {
                return this.leader;
            }
            await this.updateLeader();
        }
    }

    private waitRetryDelay(): Promise<void> {
        return new Promise(resolve => {
            this.clock.schedule(retryDelayMs, resolve);
        });
    }

    private async runDiscovery(): Promise<void> {
        await this.findLeaderAmongKeepers();
        if (this.leader === undefined && !this.isQuorumUnreachable()) {
            await this.waitRetryDelay();
        }
    }

    /** Ends with the first keeper that says that it leads; the others are not waited for. */
    private findLeaderAmongKeepers(): Promise<void> {
        return new Promise(resolve => {
            const asked = new Set<string>();
            const askAll = async (addresses: readonly string[]): Promise<void> => {
                const fresh = [...new Set(addresses)].filter(address => !asked.has(address));
                fresh.forEach(address => asked.add(address));
                await Promise.all(fresh.map(async address => {
                    const reply = await this.sendTo(address, "findLeader", {}, discoveryTimeoutMs);
                    if (reply.isOk && reply.value.isLeader) {
                        this.leader = address;
                        resolve();
                    }
                    else if (reply.isOk && !reply.value.isLeader && reply.value.leader !== undefined) {
                        await askAll([reply.value.leader]);
                    }
                }));
            };
            void askAll([...this.voters, ...this.seeds]).then(resolve);
        });
    }

    private noteReachability(address: string, reply: Result<unknown, CallFailure>): void {
        const now = this.clock.readMonotonic();
        if (reply.isOk) {
            this.reachability.recordResponse(address);
        }
        else if (reply.error.isTimeout) {
            this.reachability.recordTimeout(address, now);
        }
        else {
            this.reachability.recordConnectionRefused(address, now);
        }
    }

    private async sendTo<Name extends keyof LeaderCalls>(
        address: string,
        name: Name,
        request: LeaderCalls[Name]["request"],
        timeoutMs: number,
    ): Promise<Result<Reply<Name>, CallFailure>> {
        const reply = await this.http.send({
            address,
            method: "POST",
            path: `${peerPaths.call}${name}`,
            headers: { "content-type": "application/json" },
            body: Buffer.from(JSON.stringify(request)),
            timeoutMs,
        });
        this.noteReachability(address, reply);
        return reply.andThen(({ status, body }) =>
            status === 200
                ? Result.ok(JSON.parse(body.toString()) as Reply<Name>)
                : Result.err({ kind: CallFailureKind.Unanswered, detail: `status ${status}`, isTimeout: false })
        );
    }
}
