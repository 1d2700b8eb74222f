import { JobAction } from "@daisylock/protocol/fleet/job-action.js";
import type { JobCall } from "@daisylock/protocol/fleet/job-call.js";
import { JobOutcome } from "@daisylock/protocol/fleet/job-outcome.js";
import type { JobReply } from "@daisylock/protocol/fleet/job-reply.js";

import { CallFailureKind } from "../../http-client/call-failure-kind.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { LeaderClient } from "../peers/leader-client.js";

/** Time for the answer to travel back, milliseconds: callers are a few milliseconds away. */
const responseMarginMs = 30;
/** Time in which a leader commits and answers, milliseconds; with less left a request is not sent, so that its refusal is certain. */
const minTimeoutMs = 60;
/** Longest time that a request is held for an answer of the leader, milliseconds. */
const maxTimeoutMs = 2_500;
const retryAfterS = 1;

/** Passes callers' requests about jobs on to the leader. */
export class JobGateway {
    /**
     * @param leaderClient - the way to the leader
     * @param log - decisions
     */
    constructor(
        private readonly leaderClient: Pick<LeaderClient, "send">,
        private readonly log: Pick<DecisionLog, "record">,
    ) {}

    /**
     * Answers a request. While a leader is being elected the request is kept for it; when none can be reached the answer
     * is given at once: that nothing has run, or, when the request may have reached a leader, that this is not known.
     * @param call - the request
     * @param deadlineMs - milliseconds that the caller waits
     * @returns the answer
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
        const isHarmless = kind === CallFailureKind.NotSent || call.verb === JobAction.Read;
        const outcome = isHarmless ? JobOutcome.Unavailable : JobOutcome.Unknown;
        this.log.record(DecisionKind.CallUnanswered, { verb: call.verb, path: call.path, outcome, detail });
        return outcome === JobOutcome.Unavailable ? { outcome, retryAfterS, reason: detail } : { outcome };
    }
}
