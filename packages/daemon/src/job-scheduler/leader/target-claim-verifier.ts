import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { TargetClient } from "../targets/target-client.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { ClaimAnswer } from "./claim-answer.js";
import { ClaimOutcome } from "./claim-outcome.js";

/** Bounds of the delay after which a claim that was not confirmed is asked about again; it doubles, milliseconds. */
const minRetryMs = 500;
const maxRetryMs = 5_000;
/** Maximum number of questions in flight, so that claims at silent addresses hold only few connections. */
const maxInFlight = 64;
/** Maximum number of first questions that wait for one of these; all targets of a fleet may register at the same time. */
const maxWaiting = 1_024;
/** Maximum number of remembered failures; the oldest are dropped. */
const maxFailures = 1_024;

interface FailedClaim {
    readonly retryMs: number;
    /** Monotonic milliseconds. */
    readonly retryAt: number;
}

/** Fencing tokens of requests to a target. */
interface ClaimTokens {
    /** Reads the newest token. */
    readonly read: (target: string) => number;
    /** Takes a higher one; `undefined` if no request for an earlier incarnation can be on its way, or its session fences it. */
    readonly take: (target: TargetRecord) => number | undefined;
}

/**
 * Asks the address that a heartbeat claims for a target whether that incarnation is there. A heartbeat proves nothing
 * of itself, as anyone may send one; a target refuses requests that are meant for another, and states its incarnation.
 */
export class TargetClaimVerifier {
    private readonly inFlight = new Map<string, Promise<ClaimAnswer>>();
    private readonly failures = new Map<string, FailedClaim>();
    private freeSlots = maxInFlight;
    private readonly slotWaits: (() => void)[] = [];

    /**
     * @param client - sends requests to targets
     * @param tokens - fencing tokens of the requests
     * @param clock - clock for the delays between questions
     */
    constructor(
        private readonly client: Pick<TargetClient, "sendLeaseRenewal">,
        private readonly tokens: ClaimTokens,
        private readonly clock: Clock,
    ) {}

    /**
     * Asks the claimed address whether the incarnation is there. The question grants no lease and discards no ends. A new
     * incarnation that is there is asked again with a higher fencing token, so that it executes no request any more that
     * was meant for the one before. The first question has no such token, as a false claim would fence the target's own
     * session.
     * @param record - the claimed record
     * @param isNew - whether another incarnation is recorded under the id
     * @returns the answer
     */
    verifyClaim(record: TargetRecord, isNew = false): Promise<ClaimAnswer> {
        const key = JSON.stringify([record.id, record.incarnation, record.address]);
        const pending = this.inFlight.get(key);
        if (pending !== undefined) {
            return pending;
        }
        const failure = this.failures.get(key);
        const isTooEarly = failure !== undefined && failure.retryAt > this.clock.readMonotonic();
        // Claims that were not confirmed before leave the waiting to those that are new.
        const isQueueFull = this.freeSlots === 0 && (failure !== undefined || this.slotWaits.length >= maxWaiting);
        if (isTooEarly || isQueueFull) {
            return Promise.resolve({ outcome: ClaimOutcome.Deferred, clockMs: undefined });
        }
        const answer = this.sendQuestions(key, record, isNew);
        this.inFlight.set(key, answer);
        return answer;
    }

    private async sendQuestions(key: string, record: TargetRecord, isNew: boolean): Promise<ClaimAnswer> {
        await this.takeSlot();
        try {
            let answer = await this.readAnswer(record);
            const token = isNew && answer.outcome === ClaimOutcome.Confirmed ? this.tokens.take(record) : undefined;
            if (token !== undefined) {
                answer = await this.readAnswer(record, token);
            }
            this.noteOutcome(key, answer.outcome);
            return answer;
        }
        finally {
            this.releaseSlot();
            this.inFlight.delete(key);
        }
    }

    private takeSlot(): Promise<void> {
        if (this.freeSlots > 0) {
            this.freeSlots -= 1;
            return Promise.resolve();
        }
        return new Promise(resolve => this.slotWaits.push(resolve));
    }

    private releaseSlot(): void {
        const startNext = this.slotWaits.shift();
        if (startNext === undefined) {
            this.freeSlots += 1;
        }
        else {
            startNext();
        }
    }

    /**
     * Asks a target at once, however recent the last failure is.
     * @param record - the claimed record
     * @param fencingToken - token of the request
     * @returns the answer
     */
    async readAnswer(record: TargetRecord, fencingToken = this.tokens.read(record.id)): Promise<ClaimAnswer> {
        const { result, clockMs, incarnation } = await this.client.sendLeaseRenewal(record, {
            leaseUntilMs: undefined,
            fencingToken,
            lastSeen: 0,
            waitMs: 0,
        });
        if (result === TargetRequestResult.WrongTarget) {
            return { outcome: ClaimOutcome.Refuted, clockMs: undefined };
        }
        if (result === TargetRequestResult.NotSent) {
            return { outcome: ClaimOutcome.Unreachable, clockMs: undefined };
        }
        if (incarnation !== undefined) {
            const isSame = incarnation === record.incarnation;
            return { outcome: isSame ? ClaimOutcome.Confirmed : ClaimOutcome.Refuted, clockMs };
        }
        // A target without incarnations proves its id and address only.
        return result === TargetRequestResult.Done
            ? { outcome: ClaimOutcome.Confirmed, clockMs }
            : { outcome: ClaimOutcome.Unanswered, clockMs };
    }

    private noteOutcome(key: string, outcome: ClaimOutcome): void {
        const previous = this.failures.get(key);
        this.failures.delete(key);
        if (outcome === ClaimOutcome.Confirmed) {
            return;
        }
        const retryMs = previous === undefined ? minRetryMs : Math.min(maxRetryMs, 2 * previous.retryMs);
        this.failures.set(key, { retryMs, retryAt: this.clock.readMonotonic() + retryMs });
        const [oldest] = this.failures.keys();
        if (this.failures.size > maxFailures && oldest !== undefined) {
            this.failures.delete(oldest);
        }
    }
}
