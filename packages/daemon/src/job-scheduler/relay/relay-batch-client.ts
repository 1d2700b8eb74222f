import Result from "true-myth/result";

import type { ChannelListener } from "../../channel/channel-listener.js";
import type { Clock } from "../../clock/clock.js";
import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { CallFailure } from "../../http-client/call-failure.js";
import { parseJsonBody } from "../../http/parse-json-body.js";
import { peerPaths } from "../peers/peer-paths.js";
import type { TargetRequestKind } from "../targets/target-request-kind.js";
import type { RelayReply } from "./relay-reply.js";
import { relayedRepliesSchema } from "./relayed-replies-schema.js";
import type { RelayedRequest } from "./relayed-request.js";
import { TextBatcher } from "./text-batcher.js";

/** Interval at which open requests are checked for their time limit, milliseconds. */
const sweepIntervalMs = 50;

type Reply = Result<RelayReply, CallFailure>;

/** A request that its relay has not answered. */
interface OpenRequest {
    readonly batch: number;
    /** Monotonic milliseconds. */
    readonly endsAt: number;
    readonly resolve: (reply: Reply) => void;
}

/** What is under way through one relay, from the first request on a channel to its end. */
interface RelayLink {
    readonly batcher: TextBatcher;
    readonly openRequests: Map<number, OpenRequest>;
}

/** Channels to other keepers. */
interface RelayChannels {
    readonly scheduleNotice: (address: string, path: string, buildBody: () => Buffer) => boolean;
    readonly addListener: (listener: ChannelListener) => void;
}

/**
 * Sends requests to relays: all that become due between two writes of a channel in one message. Their replies come back in
 * messages of the same kind, in any order.
 */
export class RelayBatchClient {
    private readonly links = new Map<string, RelayLink>();
    private requestCount = 0;
    private isSweepPlanned = false;

    /**
     * @param channels - channels to other keepers
     * @param clock - monotonic clock
     */
    constructor(private readonly channels: RelayChannels, private readonly clock: Clock) {
        channels.addListener({
            handleNotice: (address, path, body) => {
                if (path === peerPaths.relayReplies) {
                    this.handleReplies(address, body);
                }
            },
            handleClose: address => this.dropLink(address),
        });
    }

    /**
     * Sends a request.
     * @param relay - peer address of the relay
     * @param kind - kind of the request
     * @param body - the request
     * @param timeoutMs - time limit for the reply, milliseconds
     * @returns the reply, or a failure that says whether the relay may have received the request; `undefined` when there is
     *     no channel to the relay, or it does not take batches
     */
    send(
        relay: string,
        kind: TargetRequestKind,
        body: RelayedRequest,
        timeoutMs: number,
    ): Promise<Reply> | undefined {
        const link = this.links.get(relay) ?? this.createLink(relay);
        const id = this.requestCount + 1;
        const batch = link.batcher.addText(JSON.stringify([id, kind, body]));
        if (batch === undefined) {
            return undefined;
        }
        this.requestCount = id;
        this.links.set(relay, link);
        this.planSweep();
        return new Promise(resolve => {
            const endsAt = this.clock.readMonotonic() + timeoutMs;
            link.openRequests.set(id, { batch, endsAt, resolve });
        });
    }

    private createLink(relay: string): RelayLink {
        const scheduleNotice = (buildBody: () => Buffer) =>
            this.channels.scheduleNotice(relay, peerPaths.relayBatch, buildBody);
        return { batcher: new TextBatcher(scheduleNotice), openRequests: new Map() };
    }

    private handleReplies(relay: string, body: Buffer): void {
        const link = this.links.get(relay);
        if (link === undefined) {
            return;
        }
        const replies = parseJsonBody(body, relayedRepliesSchema) as [number, number, unknown][] | undefined;
        if (replies === undefined) {
            link.openRequests.forEach(({ resolve }) => resolve(buildFailure(true, "malformed replies", false)));
            link.openRequests.clear();
            return;
        }
        for (const [id, status, content] of replies) {
            const open = link.openRequests.get(id);
            link.openRequests.delete(id);
            open?.resolve(Result.ok({ status, content }));
        }
    }

    /** Ends all requests through a relay; only those that no channel has taken are certainly not sent. */
    private dropLink(relay: string): void {
        const link = this.links.get(relay);
        this.links.delete(relay);
        link?.openRequests.forEach(({ batch, resolve }) =>
            resolve(buildFailure(link.batcher.isTaken(batch), "connection lost", false))
        );
    }

    private planSweep(): void {
        if (!this.isSweepPlanned) {
            this.isSweepPlanned = true;
            const dueAt = this.clock.readMonotonic() + sweepIntervalMs;
            this.clock.schedule(sweepIntervalMs, () => this.startSweep(dueAt));
        }
    }

    /** A process that was busy or suspended has not yet read the replies that came meanwhile, so it reads them first. */
    private startSweep(dueAt: number): void {
        if (this.clock.readMonotonic() - dueAt > sweepIntervalMs) {
            this.clock.schedule(0, () => this.dropLateRequests());
            return;
        }
        this.dropLateRequests();
    }

    private dropLateRequests(): void {
        this.isSweepPlanned = false;
        const now = this.clock.readMonotonic();
        for (const { openRequests } of this.links.values()) {
            for (const [id, { endsAt, resolve }] of openRequests) {
                if (endsAt <= now) {
                    openRequests.delete(id);
                    resolve(buildFailure(true, "timeout", true));
                }
            }
            if (openRequests.size > 0) {
                this.planSweep();
            }
        }
    }
}

function buildFailure(isSent: boolean, detail: string, isTimeout: boolean): Reply {
    const kind = isSent ? CallFailureKind.Unanswered : CallFailureKind.NotSent;
    return Result.err({ kind, detail, isTimeout });
}
