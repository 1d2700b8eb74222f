import { JobAction } from "@daisylock/protocol/fleet/job-action.js";
import type { JobCall } from "@daisylock/protocol/fleet/job-call.js";
import { JobOutcome } from "@daisylock/protocol/fleet/job-outcome.js";
import type { JobReply } from "@daisylock/protocol/fleet/job-reply.js";

import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { LeaderClient } from "../peers/leader-client.js";

/** Time reserved for sending the response to the caller, milliseconds; callers are a few milliseconds away. */
const responseMarginMs = 30;
/**
 * Time in which a leader commits and replies, milliseconds. With less time left a request is not sent, so that it has
 * certainly not run.
 */
const minTimeoutMs = 60;
/** Longest time that a request waits for a reply of the leader, milliseconds. */
const maxTimeoutMs = 2_500;
const retryAfterS = 1;

/** Forwards callers' requests about jobs to the leader. */
export class JobGateway {
    /**
     * @param leaderClient - client for calls to the leader
     * @param log - log of decisions
     */
    constructor(
        private readonly leaderClient: Pick<LeaderClient, "send">,
        private readonly log: Pick<DecisionLog, "record">,
    ) {}

    /**
     * Handles a request. While a leader is being elected, the request waits for it. When no leader can be reached, the
     * reply is sent at once: that nothing has run, or that the outcome is unknown if the request may have reached a
     * leader.
     * @param call - the request
     * @param deadlineMs - time that the caller waits, milliseconds
     * @returns the reply to the caller
     */
    async handleCall(call: JobCall, deadlineMs: number): Promise<JobReply> {
        const timeoutMs = Math.min(maxTimeoutMs, deadlineMs - responseMarginMs);
        if (timeoutMs < minTimeoutMs) {
            const reason = `too little time: ${deadlineMs} ms`;
            this.log.record(DecisionKind.CallRefused, { verb: call.verb, path: call.path, reason });
            return { outcome: JobOutcome.Unavailable, retryAfterS, reason };
        }
        const reply = await this.leaderClient.send("job", call, timeoutMs);
        if (reply.isOk) {
            return reply.value;
        }
        const { kind, detail } = reply.error;
        const hasNoEffect = kind === CallFailureKind.NotSent || call.verb === JobAction.Read;
        const outcome = hasNoEffect ? JobOutcome.Unavailable : JobOutcome.Unknown;
        this.log.record(DecisionKind.CallUnanswered, { verb: call.verb, path: call.path, outcome, detail });
        return outcome === JobOutcome.Unavailable ? { outcome, retryAfterS, reason: detail } : { outcome };
    }
}
