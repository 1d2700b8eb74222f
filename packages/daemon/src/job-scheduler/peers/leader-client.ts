import { KeeperReachability } from "@daisylock/core/reachability/keeper-reachability.js";
import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import { leaderReplySchema } from "@daisylock/protocol/fleet/leader-reply-schema.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import Result from "true-myth/result";

import type { Clock } from "../../clock/clock.js";
import type { FaultListener } from "../../containment/fault-listener.js";
import { runContained } from "../../containment/run-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { CallFailure } from "../../http-client/call-failure.js";
import type { HttpClient } from "../../http-client/http-client.js";
import type { HttpResponse } from "../../http-client/http-response.js";
import { parseJsonBody } from "../../http/parse-json-body.js";
import { peerPaths } from "./peer-paths.js";

/** Timeout of one attempt at one process, milliseconds; a commit takes a few tens of milliseconds. */
const maxAttemptMs = 600;
/** Longest search for a leader while most keepers respond, milliseconds; covers an election and a restart. */
const maxElectionMs = 1_300;
/** Timeout for asking one keeper whether it leads, milliseconds. */
const discoveryTimeoutMs = 300;
/** Delay before the keepers are asked again when none of them leads, milliseconds. */
const retryDelayMs = 70;
/** Status with which a keeper of an earlier release replies to a call that it does not know. */
const unsupportedStatus = 404;
/** Calls that leaders of an earlier release do not know. */
const newCalls: ReadonlySet<keyof LeaderCalls> = new Set(["reports"]);
/** Part of an unexpected reply that is logged, bytes. */
const maxDetailBytes = 200;

type Reply<Name extends keyof LeaderCalls> = LeaderReply<LeaderCalls[Name]["reply"]>;

/**
 * Finds the leader among the keepers (control-plane replicas) and calls it. A call waits for an election while most
 * keepers respond, and fails at once while most are unresponsive.
 */
export class LeaderClient {
    private leader: string | undefined;
    private discovery: Promise<void> | undefined;
    /** When a leader last replied to a call, monotonic milliseconds. */
    private lastReplyAt = Number.NEGATIVE_INFINITY;
    private readonly reachability: KeeperReachability;
    /** Peer addresses of the voters as last reported by a leader; the seeds until then. */
    private voters: readonly string[];

    /**
     * @param http - client for other processes
     * @param seeds - peer addresses of some keepers
     * @param clock - clock for timeouts and delays
     * @param noteFault - called with each fault of a call to one keeper
     */
    constructor(
        private readonly http: Pick<HttpClient, "send">,
        private seeds: readonly string[],
        private readonly clock: Clock,
        private readonly noteFault: FaultListener,
    ) {
        this.reachability = new KeeperReachability(seeds);
        this.voters = seeds;
    }

    /**
     * Sets the keepers that the settings name. They may be the only reachable ones after all known voters were
     * replaced.
     * @param seeds - peer addresses
     */
    setSeeds(seeds: readonly string[]): void {
        this.seeds = seeds;
    }

    /**
     * Sets the keepers that vote.
     * @param voters - peer addresses, as the leader reports them
     */
    setVoters(voters: readonly string[]): void {
        this.voters = voters;
        this.reachability.setKeepers(voters);
    }

    /**
     * Returns the address at which the leader was last found.
     * @returns its peer address, or `undefined` while no leader is known
     */
    readLeader(): string | undefined {
        return this.leader;
    }

    /**
     * Reads when a leader last replied to a call.
     * @returns monotonic milliseconds; negative infinity before the first reply
     */
    readLastReplyTime(): number {
        return this.lastReplyAt;
    }

    /**
     * Tells whether most keepers are unresponsive, so that a leader cannot be reached from here.
     * @returns true when no leader is known and most keepers are unresponsive
     */
    isQuorumUnreachable(): boolean {
        return this.leader === undefined && this.reachability.isQuorumUnreachable(this.clock.readMonotonic());
    }

    /**
     * Asks all known keepers once whether they lead, unless the leader is known. Concurrent calls share one round.
     * @returns resolves when a leader is found, or when no keeper that responded leads
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
     * Calls the leader, and searches for it first if it is not known.
     * @param name - name of the call
     * @param request - its request, which must be idempotent because it may be sent several times
     * @param timeoutMs - milliseconds for all attempts together
     * @returns the reply, or a failure that tells whether the call may have been carried out
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
            const attemptTimeoutMs = Math.min(maxAttemptMs, endsAt - this.clock.readMonotonic());
            if (address === undefined || attemptTimeoutMs <= 0) {
                detail = this.isQuorumUnreachable()
                    ? `most keepers are silent; ${detail}`
                    : `no leader in time; ${detail}`;
                break;
            }
            const reply = await this.sendTo(address, name, request, attemptTimeoutMs);
            if (reply.isOk && reply.value.isLeader) {
                this.leader = address;
                this.lastReplyAt = this.clock.readMonotonic();
                return Result.ok(reply.value.value);
            }
            if (reply.isErr) {
                if (reply.error.kind === CallFailureKind.Unsupported) {
                    return Result.err(reply.error);
                }
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

    /** Drops the known leader, unless a concurrent call has found a different one in the meantime. */
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

    /** Resolves at the first keeper that reports that it leads, without waiting for the others. */
    private findLeaderAmongKeepers(): Promise<void> {
        return new Promise((resolve, reject) => {
            const contacted = new Set<string>();
            const sendToAll = async (addresses: readonly string[]): Promise<void> => {
                const uncontacted = [...new Set(addresses)].filter(address => !contacted.has(address));
                uncontacted.forEach(address => contacted.add(address));
                await Promise.all(uncontacted.map(async address => {
                    const reply = await this.sendTo(address, "findLeader", {}, discoveryTimeoutMs);
                    if (reply.isOk && reply.value.isLeader) {
                        this.leader = address;
                        resolve();
                    }
                    else if (reply.isOk && !reply.value.isLeader && reply.value.leader !== undefined) {
                        await sendToAll([reply.value.leader]);
                    }
                }));
            };
            sendToAll([...this.voters, ...this.seeds]).then(resolve, reject);
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
        const call = {
            address,
            method: "POST",
            path: `${peerPaths.call}${name}`,
            headers: { "content-type": "application/json" },
            body: Buffer.from(JSON.stringify(request)),
            timeoutMs,
        };
        const reply = await runContained<Result<HttpResponse, CallFailure>>(
            this.noteFault,
            { work: WorkKind.PeerCall, subject: address },
            () => this.http.send(call),
            () => Result.err({ kind: CallFailureKind.Unanswered, detail: "fault", isTimeout: false }),
        );
        this.noteReachability(address, reply);
        return reply.andThen(({ status, body }) => {
            const value = status === 200 ? parseJsonBody(body, leaderReplySchema) : undefined;
            return value !== undefined
                ? Result.ok(value as Reply<Name>)
                : Result.err({
                    kind: status === unsupportedStatus && newCalls.has(name)
                        ? CallFailureKind.Unsupported
                        : CallFailureKind.Unanswered,
                    detail: `status ${status} ${body.toString("utf8", 0, maxDetailBytes)}`.trim(),
                    isTimeout: false,
                });
        });
    }
}
