import type { RecordedResponse } from "@daisylock/core/control/recorded-response.js";
import { UnknownOutcomeReason } from "@daisylock/core/outcomes/unknown-outcome-reason.js";
import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import {
    type Agent,
    type ClientRequest,
    type IncomingMessage,
    request as openRequest,
    type ServerResponse,
} from "node:http";

import type { Clock } from "../../../clock/clock.js";
import { parseAddress } from "../../../settings/parse-address.js";
import type { CallerRequest } from "../callers/caller-request.js";
import { AttemptEnd } from "./attempt-end.js";
import type { AttemptResult } from "./attempt-result.js";
import { buildResponseHeaders } from "./build-response-headers.js";
import { buildTargetHeaders } from "./build-target-headers.js";
import type { RequestBody } from "./request-body.js";

/** Largest answer that is kept for callers who ask again, bytes. */
const maxRecordedBytes = 4_096;
/** Answers that say that the target is broken rather than the request. */
const errorStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/** One attempt's parts. */
interface AttemptOptions {
    readonly call: CallerRequest;
    readonly body: RequestBody;
    readonly response: ServerResponse;
    readonly team: string;
    readonly address: string;
    readonly dispatchId: string;
    /** Connections to use; `undefined` for a new one. */
    readonly agent: Agent | undefined;
    /** Whether an error answer of the target may be dropped in favour of another attempt. */
    readonly mayRetryOnOtherTarget: boolean;
    readonly connectTimeoutMs: number;
    readonly bodyStallMs: number;
    readonly maxBodyBytes: number;
    readonly clock: Clock;
}

/** Sends a request to one target and passes its answer on. */
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
     * @param options - what to send where
     */
    constructor(private readonly options: AttemptOptions) {
        this.result = new Promise(resolve => {
            this.settleResult = resolve;
        });
    }

    /**
     * Sends the request.
     * @returns how it ended
     */
    run(): Promise<AttemptResult> {
        const { clock, call, response } = this.options;
        const outgoing = this.sendRequest();
        this.outgoing = outgoing;
        const connectTimer = clock.schedule(this.options.connectTimeoutMs, () => this.handleConnectTimeout());
        const deadlineTimer = clock.schedule(
            Math.max(1, call.deadlineAt - clock.readMonotonic()),
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
        outgoing.once("response", incoming => this.handleResponse(incoming));
        outgoing.on("error", () => this.handleError());
        return this.result;
    }

    /**
     * Gives up, unless an answer has begun.
     * @param reason - why
     * @param isTargetFault - whether the target is to blame
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
     * Tells whether the target has begun to answer.
     * @returns true once the head of the answer has arrived
     */
    isResponding(): boolean {
        return this.hasResponseHeaders;
    }

    private sendRequest(): ClientRequest {
        const { call, body, address, agent, dispatchId, team } = this.options;
        const { host, port } = parseAddress(address);
        const bodyBytes = body.kind === "buffered" ? body.content.length : call.bodyBytes;
        const outgoing = openRequest({
            host,
            port,
            method: call.method,
            path: call.path,
            agent: agent ?? false,
            headers: buildTargetHeaders({
                headers: call.headers,
                address,
                requestId: call.id,
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
        const { response, call } = this.options;
        this.hasResponseHeaders = true;
        // From here on, progress counts rather than the deadline.
        this.stopDeadlineTimer();
        this.scheduleProgressCheck(incoming, -1);
        response.writeHead(status, buildResponseHeaders(incoming.headers, call.id));
        if (call.isUnrepeatable) {
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

    /** Ends an answer of which nothing moved for a whole period, on either side. */
    private scheduleProgressCheck(incoming: IncomingMessage, seenBytes: number): void {
        const { clock, bodyStallMs, response } = this.options;
        const cancel = clock.schedule(bodyStallMs, () => {
            const movedBytes = (incoming.socket?.bytesRead ?? 0) + (response.socket?.bytesWritten ?? 0);
            if (movedBytes === seenBytes) {
                this.settleFailure(UnknownOutcomeReason.ConnectionSilent, true);
                return;
            }
            this.scheduleProgressCheck(incoming, movedBytes);
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

    /** The connection is kept for further requests only after a whole answer that was the right one. */
    private settle(result: AttemptResult, isConnectionGood = false): void {
        if (this.isSettled) {
            return;
        }
        this.isSettled = true;
        this.cancelCallbacks.forEach(cancel => cancel());
        if (this.options.body.kind === "streamed") {
            this.options.body.source.unpipe(this.outgoing);
        }
        if (!isConnectionGood) {
            this.outgoing?.destroy();
        }
        this.settleResult(result);
    }
}

/** Tells whether the end of an answer can be told from a lost connection. */
function isSelfDelimited(incoming: IncomingMessage): boolean {
    const { headers, statusCode = 0 } = incoming;
    const hasNoBody = statusCode === 204 || statusCode === 304 || statusCode < 200;
    return hasNoBody || headers["content-length"] !== undefined || headers["transfer-encoding"] === "chunked";
}
