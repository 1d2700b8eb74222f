import type { TargetRecord } from "@daisylock/core/targets/target-record.js";
import Result from "true-myth/result";
import * as v from "valibot";

import type { Clock } from "../../clock/clock.js";
import type { FaultListener } from "../../containment/fault-listener.js";
import { runContained } from "../../containment/run-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import type { CallFailure } from "../../http-client/call-failure.js";
import type { HttpClient } from "../../http-client/http-client.js";
import { parseJsonBody } from "../../http/parse-json-body.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import { peerPaths } from "../peers/peer-paths.js";
import type { LeaseRenewalRequest } from "../targets/lease-renewal-request.js";
import type { LeaseRenewalResponse } from "../targets/lease-renewal-response.js";
import type { RunRequest } from "../targets/run-request.js";
import type { StartTaskRequest } from "../targets/start-task-request.js";
import { TargetClient } from "../targets/target-client.js";
import type { TargetRequestContent } from "../targets/target-request-content.js";
import { TargetRequestKind } from "../targets/target-request-kind.js";
import { TargetRequestResult } from "../targets/target-request-result.js";
import type { TargetRequestSender } from "../targets/target-request-sender.js";
import type { TargetResponse } from "../targets/target-response.js";
import type { RelayBatchClient } from "./relay-batch-client.js";
import type { RelayDirectory } from "./relay-directory.js";
import type { RelayReply } from "./relay-reply.js";
import type { RelayedRequest } from "./relayed-request.js";
import { relayedResponseSchemas } from "./relayed-response-schemas.js";

/** Time limit of a request through a relay, milliseconds; above the time limits of its own requests to targets. */
const relayTimeoutMs = 650;
/** The same for a check of reachability, milliseconds. */
const checkTimeoutMs = 400;
/**
 * Time for which a target that a relay did not reach is sent its requests directly, milliseconds. It doubles with each
 * further time in a row, because a target may leave single requests unanswered while a relay reaches it well.
 */
const minDirectMs = 300;
const maxDirectMs = 10_000;
/** Number of such targets from which those whose time is over are dropped. */
const maxDirectTargets = 1_024;

/** Results of a target that did not respond. */
const failedResults: ReadonlySet<TargetRequestResult> = new Set([
    TargetRequestResult.Unanswered,
    TargetRequestResult.NotSent,
]);
const successStatus = 200;
/** What a reply holds is checked by the kind of its request. */
const contentSchema = v.object({});
/** Status with which a relay refuses a request that it cannot carry out, for example because of the target's address. */
const refusedStatus = 400;
/** Statuses with which a relay says that it has not sent the request. */
const notSentStatuses: ReadonlySet<number> = new Set([refusedStatus, 404, 503]);
/**
 * Results of the leader's own attempt that hold although a relay may still send the same request. After any other, the
 * request must not count as refused or as not sent.
 */
const conclusiveResults: ReadonlySet<TargetRequestResult> = new Set([
    TargetRequestResult.Done,
    TargetRequestResult.AlreadyEnded,
    TargetRequestResult.Fenced,
    TargetRequestResult.WrongTarget,
]);

/** Reply in place of one that ended by a fault; the relay may have the request. */
const faultReply: Result<RelayReply, CallFailure> = Result.err({
    kind: CallFailureKind.Unanswered,
    detail: "fault",
    isTimeout: false,
});

/** A target that its relay did not reach the last time. */
interface UnreachedTarget {
    readonly directMs: number;
    /** Until when its requests are sent directly, monotonic milliseconds. */
    readonly until: number;
}

/**
 * Lets the other keepers send the leader's requests to targets, which takes most of the work of a start off the leader.
 * The leader decides and commits as before; a relay keeps no state. When a relay does not carry out a request, the leader
 * sends it itself: all requests are idempotent, and one that a relay still sends late has the same effect as one that
 * the network delays.
 */
export class RelayedTargetClient extends TargetClient {
    private readonly unreachedTargets = new Map<string, UnreachedTarget>();
    private readonly noteFault: FaultListener;

    /**
     * @param direct - sends requests from this process
     * @param batches - sends requests to relays that take batches
     * @param peers - client for the other keepers, which sends the requests to relays of earlier releases
     * @param relays - picks the relay of each target
     * @param log - decision log
     * @param clock - monotonic and wall clock
     * @param noteRelayed - called for each request that a relay is asked to send, with its kind
     */
    constructor(
        private readonly direct: Pick<TargetRequestSender, "send" | "close">,
        private readonly batches: Pick<RelayBatchClient, "send">,
        private readonly peers: Pick<HttpClient, "send">,
        private readonly relays: Pick<RelayDirectory, "pickRelay" | "noteFailure">,
        private readonly log: Pick<DecisionLog, "record">,
        private readonly clock: Clock,
        private readonly noteRelayed: (kind: TargetRequestKind) => void = () => undefined,
    ) {
        super();
        this.noteFault = createFaultListener(log);
    }

    override startTask(target: TargetRecord, request: StartTaskRequest): Promise<TargetResponse> {
        return this.sendRequest(TargetRequestKind.Start, target, { request }, relayTimeoutMs);
    }

    override stopTask(target: TargetRecord, request: RunRequest): Promise<TargetResponse> {
        return this.sendRequest(TargetRequestKind.Stop, target, { request }, relayTimeoutMs);
    }

    override setPace(target: TargetRecord, request: RunRequest, percent: number): Promise<TargetResponse> {
        return this.sendRequest(TargetRequestKind.Pace, target, { request, percent }, relayTimeoutMs);
    }

    override async sendLeaseRenewal(target: TargetRecord, request: LeaseRenewalRequest): Promise<LeaseRenewalResponse> {
        const timeoutMs = request.waitMs + relayTimeoutMs;
        const wasDirect = this.isDirect(target.id);
        const relayed = await this.sendRequest(TargetRequestKind.Renew, target, { request }, timeoutMs);
        // A target that the relay does not reach may be reachable from here. Only a list is repeated, as the relay may
        // still send a renewal.
        const response = request.leaseUntilMs === undefined && !wasDirect && this.isDirect(target.id)
            ? await this.direct.send(TargetRequestKind.Renew, target, { request })
            : relayed;
        const renewal = response as Omit<LeaseRenewalResponse, "areAllEndsListed"> & Partial<LeaseRenewalResponse>;
        // Without the relay's word, only an empty list is certain to be whole.
        return { ...renewal, areAllEndsListed: renewal.areAllEndsListed ?? renewal.ended.length === 0 };
    }

    override async checkReachable(
        target: TargetRecord,
        request: Pick<LeaseRenewalRequest, "fencingToken" | "lastSeen">,
    ): Promise<TargetResponse> {
        const wasDirect = this.isDirect(target.id);
        const response = await this.sendRequest(TargetRequestKind.Check, target, { request }, checkTimeoutMs);
        if (wasDirect || !this.isDirect(target.id)) {
            return response;
        }
        // A target that the relay does not reach may be reachable from here.
        const direct = await this.direct.send(TargetRequestKind.Check, target, { request });
        if (response.result === TargetRequestResult.NotSent && response.mayRepeat !== true) {
            return direct;
        }
        const isSent = direct.result !== TargetRequestResult.NotSent;
        return { ...direct, result: isSent ? direct.result : TargetRequestResult.Unanswered, mayRepeat: true };
    }

    override close(): void {
        this.direct.close();
    }

    private async sendRequest(
        kind: TargetRequestKind,
        target: TargetRecord,
        content: TargetRequestContent,
        timeoutMs: number,
    ): Promise<TargetResponse> {
        const relay = this.isDirect(target.id) ? undefined : this.relays.pickRelay(target.id);
        if (relay === undefined) {
            return this.direct.send(kind, target, content);
        }
        const { id, address } = target;
        this.noteRelayed(kind);
        const body: RelayedRequest = { target: { id, address }, sentAtMs: this.clock.readWall(), ...content };
        const reply = await runContained(
            this.noteFault,
            { work: WorkKind.PeerCall, subject: relay },
            () => this.batches.send(relay, kind, body, timeoutMs) ?? this.sendAlone(relay, kind, body, timeoutMs),
            () => faultReply,
        );
        const response = parseResponse(kind, reply);
        if (response === undefined) {
            return this.sendDirectly(kind, target, content, relay, reply);
        }
        if (failedResults.has(response.result)) {
            this.noteUnreached(id);
        }
        else {
            this.unreachedTargets.delete(id);
        }
        return response;
    }

    /** Sends a request in a message of its own. */
    private async sendAlone(
        relay: string,
        kind: TargetRequestKind,
        body: RelayedRequest,
        timeoutMs: number,
    ): Promise<Result<RelayReply, CallFailure>> {
        const reply = await this.peers.send({
            address: relay,
            method: "POST",
            path: `${peerPaths.relay}${kind}`,
            headers: {},
            body: Buffer.from(JSON.stringify(body)),
            timeoutMs,
        });
        return reply.map(({ status, body: text }) => ({
            status,
            content: status === successStatus ? parseJsonBody(text, contentSchema) : undefined,
        }));
    }

    /** Sends a request that the relay has not carried out, or of which that is not certain. */
    private async sendDirectly(
        kind: TargetRequestKind,
        target: TargetRecord,
        content: TargetRequestContent,
        relay: string,
        reply: Result<RelayReply, CallFailure>,
    ): Promise<TargetResponse> {
        if (!isRequestRefused(reply)) {
            this.relays.noteFailure(relay);
        }
        const isUncertain = isPossiblySent(reply);
        const detail = reply.isErr ? reply.error.detail : `status ${reply.value.status}`;
        this.log.record(DecisionKind.RelayFailed, {
            relay,
            request: kind,
            target: target.id,
            detail,
            uncertain: isUncertain,
        });
        const response = await this.direct.send(kind, target, content);
        if (!isUncertain) {
            return response;
        }
        const isConclusive = conclusiveResults.has(response.result);
        return {
            ...response,
            result: isConclusive ? response.result : TargetRequestResult.Unanswered,
            mayRepeat: true,
        };
    }

    private noteUnreached(target: string): void {
        const now = this.clock.readMonotonic();
        if (this.unreachedTargets.size >= maxDirectTargets) {
            [...this.unreachedTargets].filter(([, { until }]) => until <= now)
                .forEach(([id]) => this.unreachedTargets.delete(id));
        }
        const lastMs = this.unreachedTargets.get(target)?.directMs ?? minDirectMs / 2;
        const directMs = Math.min(maxDirectMs, 2 * lastMs);
        this.unreachedTargets.set(target, { directMs, until: now + directMs });
    }

    private isDirect(target: string): boolean {
        return (this.unreachedTargets.get(target)?.until ?? 0) > this.clock.readMonotonic();
    }
}

/** Returns `undefined` when the relay has not answered with a response of the target. */
function parseResponse(
    kind: TargetRequestKind,
    reply: Result<RelayReply, CallFailure>,
): TargetResponse | undefined {
    const isResponse = reply.isOk && reply.value.status === successStatus
        && v.is(relayedResponseSchemas[kind], reply.value.content);
    return isResponse ? reply.value.content as TargetResponse : undefined;
}

function isPossiblySent(reply: Result<RelayReply, CallFailure>): boolean {
    return reply.isErr ? reply.error.kind === CallFailureKind.Unanswered : !notSentStatuses.has(reply.value.status);
}

function isRequestRefused(reply: Result<RelayReply, CallFailure>): boolean {
    return reply.isOk && reply.value.status === refusedStatus;
}
