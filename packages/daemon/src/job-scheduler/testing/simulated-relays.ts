import Result from "true-myth/result";

import type { ChannelListener } from "../../channel/channel-listener.js";
import type { NoticeSender } from "../../channel/notice-sender.js";
import type { Clock } from "../../clock/clock.js";
import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { CallFailure } from "../../http-client/call-failure.js";
import type { HttpCall } from "../../http-client/http-call.js";
import type { HttpResponse } from "../../http-client/http-response.js";
import { peerPaths } from "../peers/peer-paths.js";
import { TargetRequestRelay } from "../relay/target-request-relay.js";
import type { TargetRequestSender } from "../targets/target-request-sender.js";
import { RandomDelays } from "./random-delays.js";
import { RequestFate } from "./request-fate.js";

/** Bounds of the delay of a message between keepers, milliseconds. */
const minDelayMs = 1;
const maxDelayMs = 6;
/** Bounds of the time for which a suspended relay holds a request, milliseconds. */
const minHeldMs = 100;
const maxHeldMs = 4_500;
/** Share of the requests to a relay that is down for which it is known that there is no channel. */
const refusedShare = 0.5;
/** Share of the batches without a reply after which the channel ends. */
const brokenShare = 0.5;

/** Keepers that relay the leader's requests to targets, in batches or one by one; each may be down, suspended or cut off. */
export class SimulatedRelays {
    /** Relays that are picked, by name. */
    readonly names = ["k1", "k2"];
    private readonly faults = new Map<string, RequestFate>();
    /** Whether the relays take batches; those of earlier releases do not. */
    areTakingBatches = true;
    private readonly listeners: ChannelListener[] = [];
    /** Channels on which replies come back, by relay. */
    private readonly replyChannels = new Map<string, NoticeSender>();
    /** How often the channel to each relay has ended. */
    private readonly closeCounts = new Map<string, number>();
    private readonly relay: TargetRequestRelay;
    private readonly delays: RandomDelays;

    /**
     * @param sender - sends the requests of the relays to targets
     * @param clock - clock of the simulation
     * @param random - returns numbers from 0 to below 1
     */
    constructor(sender: TargetRequestSender, private readonly clock: Clock, private readonly random: () => number) {
        this.relay = new TargetRequestRelay(sender, clock, ({ error }) => {
            throw error;
        });
        this.delays = new RandomDelays(clock, random);
    }

    /**
     * Disturbs the requests through a relay.
     * @param position - position of the relay
     * @param fate - what happens to its requests
     * @param forMs - duration, milliseconds
     */
    setFault(position: number, fate: RequestFate, forMs: number): void {
        const name = this.names[position % this.names.length] ?? "";
        this.faults.set(name, fate);
        this.clock.schedule(forMs, () => this.faults.delete(name));
    }

    /** Ends all faults. */
    stopFaults(): void {
        this.faults.clear();
    }

    /**
     * Carries a request to a relay and its response back.
     * @param call - the request
     * @returns the response, or a failure that says whether the relay may have received the request
     */
    async send({ address, path, body, timeoutMs }: HttpCall): Promise<Result<HttpResponse, CallFailure>> {
        const fate = this.faults.get(address) ?? RequestFate.Answered;
        const kind = path.slice(peerPaths.relay.length);
        const run = () => this.relay.handleRequest(kind, body ?? Buffer.alloc(0));
        await this.delays.waitDelay(this.delays.pickDelay(minDelayMs, maxDelayMs));
        switch (fate) {
            case RequestFate.Refused:
                return Result.err({ kind: CallFailureKind.NotSent, detail: "refused", isTimeout: false });
            case RequestFate.Answered: {
                const response = await run();
                await this.delays.waitDelay(this.delays.pickDelay(minDelayMs, maxDelayMs));
                return Result.ok(response);
            }
            case RequestFate.Late:
                this.clock.schedule(this.delays.pickDelay(minHeldMs, maxHeldMs), () => void run());
                break;
            case RequestFate.ResponseLost:
                void run();
                break;
            case RequestFate.Lost:
                break;
        }
        await this.delays.waitDelay(timeoutMs);
        return Result.err({ kind: CallFailureKind.Unanswered, detail: "timeout", isTimeout: true });
    }

    /**
     * Adds a listener for the notices of relays and the ends of their channels.
     * @param listener - the listener
     */
    addListener(listener: ChannelListener): void {
        this.listeners.push(listener);
    }

    /**
     * Schedules a batch to a relay. The channel of one that is down has ended, or ends before it takes the batch.
     * @param address - the relay
     * @param path - path of the batch
     * @param buildBody - builds the batch
     * @returns false when there is no channel
     */
    scheduleNotice(address: string, path: string, buildBody: () => Buffer): boolean {
        if (!this.areTakingBatches || path !== peerPaths.relayBatch) {
            return false;
        }
        const fate = this.faults.get(address) ?? RequestFate.Answered;
        if (fate === RequestFate.Refused && this.random() < refusedShare) {
            return false;
        }
        const channelNumber = this.closeCounts.get(address) ?? 0;
        this.clock.schedule(this.delays.pickDelay(minDelayMs, maxDelayMs), () => {
            if (channelNumber !== (this.closeCounts.get(address) ?? 0)) {
                return;
            }
            if (fate === RequestFate.Refused) {
                this.closeChannel(address);
                return;
            }
            this.forwardBatch(address, buildBody(), fate);
        });
        return true;
    }

    private forwardBatch(address: string, body: Buffer, fate: RequestFate): void {
        switch (fate) {
            case RequestFate.Answered:
                void this.relay.handleBatch(body, this.findReplyChannel(address));
                return;
            case RequestFate.Late: {
                const channel = this.findReplyChannel(address);
                this.clock.schedule(
                    this.delays.pickDelay(minHeldMs, maxHeldMs),
                    () => void this.relay.handleBatch(body, channel),
                );
                break;
            }
            case RequestFate.ResponseLost:
                void this.relay.handleBatch(body, { scheduleNotice: () => false });
                break;
            default:
                break;
        }
        if (this.random() < brokenShare) {
            this.clock.schedule(this.delays.pickDelay(minDelayMs, maxHeldMs), () => this.closeChannel(address));
        }
    }

    private closeChannel(address: string): void {
        this.closeCounts.set(address, (this.closeCounts.get(address) ?? 0) + 1);
        this.replyChannels.delete(address);
        this.listeners.forEach(({ handleClose }) => handleClose(address));
    }

    /** Replies of a channel that has ended are lost; those of a suspended relay come when the leader has given up. */
    private findReplyChannel(address: string): NoticeSender {
        const known = this.replyChannels.get(address);
        if (known !== undefined) {
            return known;
        }
        const channel: NoticeSender = {
            scheduleNotice: (path, buildBody) => {
                this.clock.schedule(this.delays.pickDelay(minDelayMs, maxDelayMs), () => {
                    if (this.replyChannels.get(address) === channel) {
                        const body = buildBody();
                        this.listeners.forEach(({ handleNotice }) => handleNotice(address, path, body));
                    }
                });
                return this.replyChannels.get(address) === channel;
            },
        };
        this.replyChannels.set(address, channel);
        return channel;
    }
}
