import { Agent, request } from "node:http";
import type { Socket } from "node:net";
import { constants, deflateRawSync } from "node:zlib";
import Result from "true-myth/result";

import type { Clock } from "../clock/clock.js";
import { CallFailureKind } from "../http-client/call-failure-kind.js";
import type { CallFailure } from "../http-client/call-failure.js";
import type { HttpCall } from "../http-client/http-call.js";
import type { HttpClient } from "../http-client/http-client.js";
import type { HttpResponse } from "../http-client/http-response.js";
import { parseCallableAddress } from "../settings/parse-callable-address.js";
import { ChannelConnection } from "./channel-connection.js";
import { channelDeflateHeader } from "./channel-deflate-header.js";
import type { ChannelListener } from "./channel-listener.js";
import { channelNoticeHeader } from "./channel-notice-header.js";
import { channelProtocol } from "./channel-protocol.js";
import { FrameKind } from "./frame-kind.js";
import type { Frame } from "./frame.js";

/** Time limit for establishing a channel, milliseconds; a lost packet is retransmitted only after a second. */
const connectTimeoutMs = 300;
/** Interval at which channels with open requests are checked, milliseconds. */
const checkIntervalMs = 100;
/** Silence of the peer after which it is asked to show that it responds, milliseconds. */
const pingAfterMs = 150;
/** Time without an answer to a ping after which a connection counts as half-open and is closed, milliseconds. */
const maxSilenceMs = 350;
/** Time for which a peer that offers no channel is called by HTTP, milliseconds. */
const withoutChannelMs = 5_000;
/** Time after the last message for which a channel is checked, milliseconds: a message may need no response. */
const checkedAfterSendMs = 1_000;
/** Size from which the body of a message without a response is deflated, where the peer takes that, bytes. */
const minDeflatedBytes = 32 * 1024;
const noContent = 204;
const emptyBody = Buffer.alloc(0);

type SendResult = Result<HttpResponse, CallFailure>;

/** A request whose response has not arrived. */
interface OpenRequest {
    readonly call: HttpCall;
    readonly resolve: (result: SendResult) => void;
    readonly stopTimer: () => void;
}

/** The channel to one address. */
interface Channel {
    readonly address: string;
    /** `undefined` until it is established. */
    connection: ChannelConnection | undefined;
    /** Whether the peer sends notices back. */
    isAnsweringNotices: boolean;
    /** Whether the peer takes deflated notices. */
    isInflating: boolean;
    readonly openRequests: Map<number, OpenRequest>;
    /** Monotonic milliseconds. */
    lastSentAt: number;
    /** Frames to send once the connection is established. */
    readonly waiting: Frame[];
}

/**
 * Sends requests to other processes of the cluster over one connection to each, on which requests and responses overtake
 * each other. A message costs a small part of an HTTP request of its own. A connection on which the peer is silent
 * while requests are open is closed, because it may be half-open; the next request opens a new one. A peer that offers
 * no channel, as those of earlier releases, is called by HTTP.
 */
export class ChannelClient {
    private readonly channels = new Map<string, Channel>();
    private readonly agent = new Agent({ keepAlive: false });
    /** When to try again to open a channel, by address, monotonic milliseconds. */
    private readonly withoutChannelUntil = new Map<string, number>();
    private nextId = 0;
    private stopCheck: () => void = () => undefined;
    private isChecking = false;
    private readonly listeners: ChannelListener[] = [];

    /**
     * @param http - client for peers that offer no channel
     * @param clock - clock for timeouts
     */
    constructor(private readonly http: Pick<HttpClient, "send" | "close">, private readonly clock: Clock) {}

    /**
     * Sends a request and waits for its response. Never throws or rejects.
     * @param call - the request; method and headers do not apply to channels
     * @returns the response, or a failure that says whether the peer may have received the request
     */
    send(call: HttpCall): Promise<SendResult> {
        const { address, path, body = emptyBody, timeoutMs } = call;
        if (parseCallableAddress(address) === undefined) {
            const detail = `${JSON.stringify(address)} is not an IP address and port`;
            return Promise.resolve(buildFailure(false, detail, false));
        }
        if ((this.withoutChannelUntil.get(address) ?? 0) > this.clock.readMonotonic()) {
            return this.http.send(call);
        }
        return new Promise(resolve => {
            const channel = this.channels.get(address) ?? this.openChannel(address);
            this.nextId = (this.nextId + 1) % 2 ** 32;
            const id = this.nextId;
            const stopTimer = this.clock.schedule(timeoutMs, () => {
                const isSent = channel.connection !== undefined;
                dropWaiting(channel, id);
                settleRequest(channel, id, buildFailure(isSent, "timeout", true));
            });
            channel.openRequests.set(id, { call, resolve, stopTimer });
            const kind = call.isOneWay === true ? FrameKind.Notice : FrameKind.Request;
            const frame: Frame = { kind, id, status: 0, path, body };
            if (channel.connection === undefined) {
                channel.waiting.push(frame);
            }
            else {
                this.sendFrame(channel, channel.connection, frame);
            }
        });
    }

    /**
     * Adds a listener for notices of peers and for the ends of channels.
     * @param listener - the listener
     */
    addListener(listener: ChannelListener): void {
        this.listeners.push(listener);
    }

    /**
     * Schedules a notice for the next write of an established channel.
     * @param address - address of the peer
     * @param path - path of the notice
     * @param buildBody - builds its body when the channel writes; not called if the channel ends before
     * @returns false when there is no channel, or the peer sends no notices back, as those of earlier releases
     */
    scheduleNotice(address: string, path: string, buildBody: () => Buffer): boolean {
        const channel = this.channels.get(address);
        const isScheduled = channel?.isAnsweringNotices === true
            && channel.connection?.scheduleNotice(path, buildBody) === true;
        if (channel !== undefined && isScheduled) {
            channel.lastSentAt = this.clock.readMonotonic();
            this.startChecks();
        }
        return isScheduled;
    }

    /** Closes all connections. */
    close(): void {
        this.stopCheck();
        this.agent.destroy();
        this.http.close();
        [...this.channels.values()].forEach(channel => this.closeChannel(channel, "closed", false));
    }

    private openChannel(address: string): Channel {
        const channel: Channel = {
            address,
            connection: undefined,
            isAnsweringNotices: false,
            isInflating: false,
            openRequests: new Map(),
            lastSentAt: 0,
            waiting: [],
        };
        this.channels.set(address, channel);
        const upgrade = request({
            agent: this.agent,
            ...parseCallableAddress(address),
            headers: { connection: "upgrade", upgrade: channelProtocol },
        });
        const fail = (detail: string, isTimeout = false): void => {
            stopTimer();
            upgrade.destroy();
            this.closeChannel(channel, detail, isTimeout);
        };
        const stopTimer = this.clock.schedule(connectTimeoutMs, () => fail("no connection in time", true));
        upgrade.on("upgrade", ({ headers }, socket: Socket, head: Buffer) => {
            stopTimer();
            channel.isAnsweringNotices = headers[channelNoticeHeader] !== undefined;
            channel.isInflating = headers[channelDeflateHeader] !== undefined;
            if (this.channels.get(address) === channel) {
                this.connectChannel(channel, socket, head);
            }
            else {
                socket.destroy();
            }
        });
        upgrade.on("response", () => {
            stopTimer();
            upgrade.destroy();
            this.sendByHttp(channel);
        });
        upgrade.on("error", error => fail(error.message));
        upgrade.end();
        return channel;
    }

    private connectChannel(channel: Channel, socket: Socket, head: Buffer): void {
        const connection = new ChannelConnection(socket, {
            handleFrame: frame => this.handleFrame(channel, frame),
            handleClose: () => this.closeChannel(channel, "connection lost", false),
            handleFault: error => this.closeChannel(channel, String(error), false),
        }, () => this.clock.readMonotonic());
        channel.connection = connection;
        channel.waiting.splice(0).forEach(frame => this.sendFrame(channel, connection, frame));
        if (head.length > 0) {
            connection.receiveChunk(head);
        }
        this.startChecks();
    }

    private handleFrame(channel: Channel, { kind, id, status, path, body }: Frame): void {
        if (kind === FrameKind.Notice) {
            this.listeners.forEach(listener => listener.handleNotice(channel.address, path, body));
            return;
        }
        settleRequest(channel, id, Result.ok({ status, body }));
    }

    private sendByHttp(channel: Channel): void {
        this.withoutChannelUntil.set(channel.address, this.clock.readMonotonic() + withoutChannelMs);
        this.channels.delete(channel.address);
        for (const { call, resolve, stopTimer } of channel.openRequests.values()) {
            stopTimer();
            this.http.send(call).then(
                resolve,
                (error: unknown) => resolve(buildFailure(true, String(error), false)),
            );
        }
        channel.openRequests.clear();
    }

    private sendFrame(channel: Channel, connection: ChannelConnection, frame: Frame): void {
        try {
            if (frame.kind === FrameKind.Notice) {
                connection.sendFrame(
                    channel.isInflating ? encodeNotice(frame) : frame,
                    () => settleRequest(channel, frame.id, Result.ok({ status: noContent, body: emptyBody })),
                );
            }
            else {
                connection.sendFrame(frame);
            }
        }
        catch (error) {
            // A frame that can't be encoded costs its request only.
            settleRequest(channel, frame.id, buildFailure(false, String(error), false));
            return;
        }
        channel.lastSentAt = this.clock.readMonotonic();
        this.startChecks();
    }

    private closeChannel(channel: Channel, detail: string, isTimeout: boolean): void {
        const { address, connection } = channel;
        const isCurrent = this.channels.get(address) === channel;
        if (isCurrent) {
            this.channels.delete(address);
        }
        [...channel.openRequests.keys()].forEach(id =>
            settleRequest(channel, id, buildFailure(connection !== undefined, detail, isTimeout))
        );
        connection?.close();
        if (isCurrent) {
            this.listeners.forEach(({ handleClose }) => handleClose(address));
        }
    }

    private startChecks(): void {
        if (!this.isChecking) {
            this.isChecking = true;
            const dueAt = this.clock.readMonotonic() + checkIntervalMs;
            this.stopCheck = this.clock.schedule(checkIntervalMs, () => this.checkChannels(dueAt));
        }
    }

    /** Closes the connections whose peers are silent; checks go on while requests are open. */
    private checkChannels(dueAt: number): void {
        this.isChecking = false;
        // A process that was busy or suspended has not yet read what its peers have sent meanwhile.
        const now = this.clock.readMonotonic();
        const isLate = now - dueAt > checkIntervalMs;
        for (const channel of [...this.channels.values()]) {
            const { connection } = channel;
            const isInUse = channel.openRequests.size > 0 || now - channel.lastSentAt < checkedAfterSendMs;
            if (connection === undefined || !isInUse) {
                continue;
            }
            if (isLate) {
                connection.restoreSilence();
            }
            const silentMs = connection.checkSilence(pingAfterMs);
            if (silentMs > maxSilenceMs) {
                this.closeChannel(channel, `no response to a ping for ${Math.round(silentMs)} ms`, true);
                continue;
            }
            this.startChecks();
        }
    }
}

/** A change of a large configuration otherwise fills the link to each keeper, and heartbeats wait behind it. */
function encodeNotice(frame: Frame): Frame {
    return frame.body.length < minDeflatedBytes
        ? frame
        : {
            ...frame,
            kind: FrameKind.DeflatedNotice,
            body: deflateRawSync(frame.body, { level: constants.Z_BEST_SPEED }),
        };
}

function settleRequest(channel: Channel, id: number, result: SendResult): void {
    const open = channel.openRequests.get(id);
    if (open !== undefined) {
        channel.openRequests.delete(id);
        open.stopTimer();
        open.resolve(result);
    }
}

function dropWaiting(channel: Channel, id: number): void {
    const position = channel.waiting.findIndex(frame => frame.id === id);
    if (position >= 0) {
        channel.waiting.splice(position, 1);
    }
}

function buildFailure(isSent: boolean, detail: string, isTimeout: boolean): SendResult {
    const kind = isSent ? CallFailureKind.Unanswered : CallFailureKind.NotSent;
    return Result.err({ kind, detail, isTimeout });
}
