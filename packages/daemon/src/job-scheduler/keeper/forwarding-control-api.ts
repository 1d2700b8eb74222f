import type { TargetReport } from "@daisylock/core/targets/target-report.js";
import type { LeaderCalls } from "@daisylock/protocol/fleet/leader-calls.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import Result from "true-myth/result";

import type { CallFailure } from "../../http-client/call-failure.js";
import { ControlApi } from "../adapter/control-api.js";
import type { FleetHandlers } from "../peers/fleet-handlers.js";
import type { LeaderClient } from "../peers/leader-client.js";
import type { ReportForwarderDependencies } from "./report-forwarder-dependencies.js";
import { ReportForwarder } from "./report-forwarder.js";

/** Timeout of a call that is forwarded, milliseconds; operators and targets wait one second for a response. */
const forwardTimeoutMs = 850;

/** Handles calls in this process when its keeper leads, and forwards them to the leader otherwise. */
export class ForwardingControlApi extends ControlApi {
    private readonly reports: ReportForwarder;

    /**
     * @param handlers - handlers of this process, which reply only while it leads
     * @param leaderClient - client for calls to the leader
     * @param dependencies - what heartbeats are compared with before they are forwarded, clock and fault listener
     */
    constructor(
        private readonly handlers: FleetHandlers,
        private readonly leaderClient: LeaderClient,
        dependencies: ReportForwarderDependencies,
    ) {
        super();
        this.reports = new ReportForwarder(
            (name, request, timeoutMs) => this.sendWithin(name, request, timeoutMs),
            forwardTimeoutMs,
            dependencies,
        );
    }

    override async send<Name extends keyof LeaderCalls>(
        name: Name,
        request: LeaderCalls[Name]["request"],
    ): Promise<Result<LeaderCalls[Name]["reply"], CallFailure>> {
        const localReply = await this.handleLocally(name, request);
        if (localReply.isLeader) {
            return Result.ok(localReply.value);
        }
        return name === "report"
            ? this.reports.forwardReport(request as TargetReport)
            : this.leaderClient.send(name, request, forwardTimeoutMs);
    }

    /** A keeper may become the leader while it collects heartbeats. */
    private async sendWithin<Name extends keyof LeaderCalls>(
        name: Name,
        request: LeaderCalls[Name]["request"],
        timeoutMs: number,
    ): Promise<Result<LeaderCalls[Name]["reply"], CallFailure>> {
        const localReply = await this.handleLocally(name, request);
        return localReply.isLeader
            ? Result.ok(localReply.value)
            : this.leaderClient.send(name, request, timeoutMs);
    }

    private handleLocally<Name extends keyof LeaderCalls>(
        name: Name,
        request: LeaderCalls[Name]["request"],
    ): Promise<LeaderReply<LeaderCalls[Name]["reply"]>> {
        const handler = this.handlers[name] as (request: unknown) => Promise<LeaderReply<LeaderCalls[Name]["reply"]>>;
        return handler(request);
    }
}
