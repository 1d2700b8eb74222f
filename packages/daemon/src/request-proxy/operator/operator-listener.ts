import type { OperateReply, OperateRequest } from "@daisylock/protocol/generated/peer.js";
import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import type { IncomingMessage, ServerResponse } from "node:http";
import type Result from "true-myth/result";

import type { FaultListener } from "../../containment/fault-listener.js";
import { HttpWorker } from "../../http/http-worker.js";
import { isTokenValid } from "../../http/is-token-valid.js";
import { readJson } from "../../http/read-json.js";
import { sendJson } from "../../http/send-json.js";
import type { PeerFailure } from "../../peer/peer-failure.js";
import type { Settings } from "../../settings/settings.js";

const maxBodyBytes = 8 * 1024 * 1024;

type OperateHandler = (request: OperateRequest) => Promise<Result<OperateReply, PeerFailure>>;

/** Serves the HTTP interface for operators. */
export class OperatorListener extends HttpWorker {
    override readonly name = "operator-listener";

    /**
     * @param settings - settings of the process
     * @param operate - handles a request in this process or forwards it to the leader
     * @param noteFault - called with each fault of a request
     */
    constructor(
        private readonly settings: Settings,
        private readonly operate: OperateHandler,
        noteFault: FaultListener,
    ) {
        super(settings.listen.operators, settings.limits, noteFault);
    }

    protected override async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (!isTokenValid(request, this.settings.cluster.operator_token)) {
            sendJson(response, 401, { type: "not-authorized" });
            return;
        }
        const body = request.method === "POST" ? await readJson(request, maxBodyBytes) : undefined;
        if (body?.isErr === true) {
            sendJson(response, 400, { type: "malformed", faults: [body.error] });
            return;
        }
        const result = await this.operate({
            method: request.method ?? "GET",
            path: request.url ?? "/",
            body: body === undefined ? "" : JSON.stringify(body.value),
            ifMatch: request.headers["if-match"] ?? "",
            changeId: String(request.headers[HeaderName.ChangeId] ?? ""),
            hops: 0,
        });
        result.match({
            Ok: reply => sendJson(response, reply.status, JSON.parse(reply.body) as unknown),
            Err: failure => sendJson(response, 503, { type: failure.kind, detail: failure.detail }),
        });
    }
}
