import type { RecordedResponse } from "@daisylock/core/control/recorded-response.js";
import { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";
import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import {
    type Agent,
    type ClientRequest,
    type IncomingMessage,
    request as createRequest,
    type ServerResponse,
} from "node:http";

import type { Clock } from "../../../clock/clock.js";
import type { FaultListener } from "../../../containment/fault-listener.js";
import { startContained } from "../../../containment/start-contained.js";
import { WorkKind } from "../../../containment/work-kind.js";
import { parseAddress } from "../../../settings/parse-address.js";
import type { CallerRequest } from "../callers/caller-request.js";
import { AttemptEnd } from "./attempt-end.js";
import type { AttemptResult } from "./attempt-result.js";
import { buildResponseHeaders } from "./build-response-headers.js";
import { buildTargetHeaders } from "./build-target-headers.js";
import type { RequestBody } from "./request-body.js";

/** Maximum length of a response body that is recorded for callers that retry, bytes. */
const maxRecordedBytes = 4_096;
/** Status codes that indicate a fault of the target rather than of the request. */
const errorStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/** Options of an attempt. */
interface AttemptOptions {
    readonly call: CallerRequest;
    readonly body: RequestBody;
    readonly response: ServerResponse;
    readonly team: string;
    readonly address: string;
    readonly dispatchId: string;
    /** Agent with kept-alive connections; `undefined` to open a new connection. */
    readonly agent: Agent | undefined;
    /** Whether an error response may be discarded and the request retried on another target. */
    readonly mayRetryOnOtherTarget: boolean;
    readonly connectTimeoutMs: number;
    readonly bodyStallMs: number;
    readonly maxBodyBytes: number;
    readonly clock: Clock;
    /** Called with each fault of the attempt. */
    readonly noteFault: FaultListener;
}

/** Sends a request to one target and forwards the response. */
export class TargetAttempt {
    private readonly result: Promise<AttemptResult>;
    private settleResult: (result: AttemptResult) => void = () => undefined;
    private isSettled = false;
    private isConnected = false;
    private hasResponseHeaders = false;
    private outgoing: ClientRequest | undefined;
    private readonly cancelCallbacks: (() => void)[] = [];
    private recordedChunks: Buffer[] | undefined;
    private stopDeadlineTimer: () => void = () => undefined;

    /**
     * @param options - the request, its target and the time limits
     */
    constructor(private readonly options: AttemptOptions) {
        this.result = new Promise(resolve => {
            this.settleResult = resolve;
        });
    }

    /**
     * Sends the request.
     * @returns the result of the attempt
     */
    run(): Promise<AttemptResult> {
        const { noteFault, address } = this.options;
        // Node throws for a request that it can't send, for example because of the target's address.
        startContained(
            noteFault,
            { work: WorkKind.TargetRequest, subject: address },
            () => this.startRequest(),
            () => this.settleFailure(UnknownOutcomeReason.ConnectionLost, true),
        );
        return this.result;
    }

    private startRequest(): void {
        const { clock, call: request, response, noteFault, address } = this.options;
        const outgoing = this.sendRequest();
        this.outgoing = outgoing;
        const connectTimer = clock.schedule(this.options.connectTimeoutMs, () => this.handleConnectTimeout());
        const deadlineTimer = clock.schedule(
            Math.max(1, request.deadlineAt - clock.readMonotonic()),
            () => this.settleFailure(UnknownOutcomeReason.DeadlineExceeded, false),
        );
        const handleClose = () => this.handleCallerClose();
        response.once("close", handleClose);
        this.stopDeadlineTimer = deadlineTimer;
        this.cancelCallbacks.push(connectTimer, deadlineTimer, () => response.off("close", handleClose));
        outgoing.once("socket", socket => {
            if (socket.connecting) {
                socket.once("connect", () => this.handleConnect(connectTimer));
                return;
            }
            this.handleConnect(connectTimer);
        });
        outgoing.once("response", incoming =>
            startContained(
                noteFault,
                { work: WorkKind.TargetRequest, subject: address },
                () => this.handleResponse(incoming),
                () => this.settleFailure(UnknownOutcomeReason.ConnectionLost, true),
            ));
        outgoing.on("error", () => this.handleError());
    }

    /**
     * Ends the attempt as failed. The result depends on its progress: not run before the connection is established,
     * truncated once the response is being forwarded, otherwise unknown.
     * @param reason - cause of the failure
     * @param isTargetFault - whether the target caused the failure
     */
    settleFailure(reason: UnknownOutcomeReason, isTargetFault: boolean): void {
        if (this.hasResponseHeaders) {
            this.settle({ end: AttemptEnd.ResponseTruncated, reason, isStillRunning: true, isTargetFault });
            return;
        }
        const end = this.isConnected ? AttemptEnd.Unknown : AttemptEnd.NotRun;
        this.settle({ end, reason, isStillRunning: this.isConnected, isTargetFault });
    }

    /**
     * Tells whether the response is being forwarded.
     * @returns true once the headers of an acceptable response have arrived
     */
    isResponding(): boolean {
        return this.hasResponseHeaders;
    }

    private sendRequest(): ClientRequest {
        const { call: request, body, address, agent, dispatchId, team } = this.options;
        const { host, port } = parseAddress(address);
        const bodyBytes = body.kind === "buffered" ? body.content.length : request.bodyBytes;
        const outgoing = createRequest({
            host,
            port,
            method: request.method,
            path: request.path,
            agent: agent ?? false,
            headers: buildTargetHeaders({
                headers: request.headers,
                address,
                requestId: request.id,
                dispatchId,
                team,
                bodyBytes,
                hasBody: bodyBytes !== 0,
            }),
        });
        this.sendBody(outgoing, body);
        return outgoing;
    }

    private sendBody(outgoing: ClientRequest, body: RequestBody): void {
        if (body.kind === "buffered") {
            outgoing.end(body.content.length > 0 ? body.content : undefined);
            return;
        }
        body.source.once("error", () => this.handleCallerClose());
        let bytes = 0;
        body.source.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > this.options.maxBodyBytes) {
                this.settleFailure(UnknownOutcomeReason.BodyTooLarge, false);
            }
        });
        body.source.pipe(outgoing);
    }

    private handleConnect(cancelConnectTimer: () => void): void {
        this.isConnected = true;
        cancelConnectTimer();
    }

    private handleConnectTimeout(): void {
        if (!this.isConnected) {
            this.settle({ end: AttemptEnd.NotRun, isStillRunning: false, isTargetFault: true });
        }
    }

    private handleError(): void {
        this.settleFailure(UnknownOutcomeReason.ConnectionLost, true);
    }

    private handleCallerClose(): void {
        if (!this.options.response.writableFinished) {
            this.settle({ end: AttemptEnd.CallerDisconnected, isStillRunning: this.isConnected, isTargetFault: false });
        }
    }

    private handleResponse(incoming: IncomingMessage): void {
        const status = incoming.statusCode ?? 502;
        if (incoming.headers[HeaderName.DispatchId] !== this.options.dispatchId) {
            this.settle({
                end: AttemptEnd.Unknown,
                reason: UnknownOutcomeReason.ForeignAnswer,
                isStillRunning: true,
                isTargetFault: true,
            });
            return;
        }
        if (incoming.headers[HeaderName.NotRun] === "true") {
            incoming.resume();
            this.settle({ end: AttemptEnd.NotRun, isStillRunning: false, isTargetFault: false, status }, true);
            return;
        }
        if (this.options.call.method !== "HEAD" && !isSelfDelimited(incoming)) {
            this.settleFailure(UnknownOutcomeReason.ConnectionLost, true);
            return;
        }
        if (errorStatuses.has(status) && this.options.mayRetryOnOtherTarget) {
            incoming.resume();
            const isStillRunning = false;
            this.settle({ end: AttemptEnd.ErrorResponse, isStillRunning, isTargetFault: true, status }, true);
            return;
        }
        this.forwardResponse(incoming, status);
    }

    private forwardResponse(incoming: IncomingMessage, status: number): void {
        const { response, call: request } = this.options;
        // A response that has begun may exceed the deadline as long as it makes progress.
        this.stopDeadlineTimer();
        this.scheduleProgressCheck(incoming, -1);
        // Throws for a status or a header that can't be sent.
        response.writeHead(status, buildResponseHeaders(incoming.headers, request.id));
        this.hasResponseHeaders = true;
        if (request.isUnrepeatable) {
            this.recordResponseBody(incoming);
        }
        incoming.on("error", () => this.settleFailure(UnknownOutcomeReason.ConnectionLost, true));
        incoming.on("aborted", () => this.settleFailure(UnknownOutcomeReason.ConnectionLost, true));
        incoming.on("end", () => {
            if (incoming.complete) {
                this.settleResponse(incoming, status);
            }
        });
        incoming.pipe(response);
    }

    /**
     * Schedules a check that fails the attempt if, for a whole period, no data was read from the target and none was
     * written to the caller.
     */
    private scheduleProgressCheck(incoming: IncomingMessage, previousBytes: number): void {
        const { clock, bodyStallMs, response } = this.options;
        const cancel = clock.schedule(bodyStallMs, () => {
            const transferredBytes = (incoming.socket?.bytesRead ?? 0) + (response.socket?.bytesWritten ?? 0);
            if (transferredBytes === previousBytes) {
                this.settleFailure(UnknownOutcomeReason.ConnectionSilent, true);
                return;
            }
            this.scheduleProgressCheck(incoming, transferredBytes);
        });
        this.cancelCallbacks.push(cancel);
    }

    private settleResponse(incoming: IncomingMessage, status: number): void {
        this.settle({
            end: AttemptEnd.Answered,
            isStillRunning: false,
            isTargetFault: errorStatuses.has(status),
            status,
            answer: this.buildRecordedResponse(incoming, status),
        }, true);
    }

    private recordResponseBody(incoming: IncomingMessage): void {
        const chunks: Buffer[] = [];
        let bytes = 0;
        this.recordedChunks = chunks;
        incoming.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > maxRecordedBytes) {
                this.recordedChunks = undefined;
                return;
            }
            chunks.push(chunk);
        });
    }

    private buildRecordedResponse(incoming: IncomingMessage, status: number): RecordedResponse | undefined {
        if (!this.options.call.isUnrepeatable) {
            return undefined;
        }
        const contentType = incoming.headers["content-type"] ?? "application/octet-stream";
        const body = this.recordedChunks === undefined
            ? undefined
            : Buffer.concat(this.recordedChunks).toString("base64");
        return { status, contentType, body };
    }

    /**
     * Settles the result once. Destroys the connection unless it may be reused for further requests, which requires a
     * response that belongs to this request.
     */
    private settle(result: AttemptResult, isConnectionReusable = false): void {
        if (this.isSettled) {
            return;
        }
        this.isSettled = true;
        this.cancelCallbacks.forEach(cancel => cancel());
        if (this.options.body.kind === "streamed") {
            this.options.body.source.unpipe(this.outgoing);
        }
        if (!isConnectionReusable) {
            this.outgoing?.destroy();
        }
        this.settleResult(result);
    }
}

/** Tells whether the end of a response can be distinguished from a lost connection. */
function isSelfDelimited(incoming: IncomingMessage): boolean {
    const { headers, statusCode = 0 } = incoming;
    const hasNoBody = statusCode === 204 || statusCode === 304 || statusCode < 200;
    return hasNoBody || headers["content-length"] !== undefined || headers["transfer-encoding"] === "chunked";
}
