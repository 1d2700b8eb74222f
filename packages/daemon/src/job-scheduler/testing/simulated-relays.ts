import Result from "true-myth/result";

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

/** Keepers that relay the leader's requests to targets; each may be down, suspended or cut off. */
export class SimulatedRelays {
    /** Relays that are picked, by name. */
    readonly names = ["k1", "k2"];
    private readonly faults = new Map<string, RequestFate>();
    private readonly relay: TargetRequestRelay;
    private readonly delays: RandomDelays;

    /**
     * @param sender - sends the requests of the relays to targets
     * @param clock - clock of the simulation
     * @param random - returns numbers from 0 to below 1
     */
    constructor(sender: TargetRequestSender, private readonly clock: Clock, random: () => number) {
        this.relay = new TargetRequestRelay(sender, clock);
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
}
