import type { JobAnswer } from "@daisylock/protocol/fleet/job-answer.js";
import type { JobCall } from "@daisylock/protocol/fleet/job-call.js";
import { JobOutcome } from "@daisylock/protocol/fleet/job-outcome.js";
import { JobVerb } from "@daisylock/protocol/fleet/job-verb.js";

import { CallFailureKind } from "../../calls/call-failure-kind.js";
import { DecisionKind } from "../log/decision-kind.js";
import type { DecisionLog } from "../log/decision-log.js";
import type { LeaderCaller } from "../peers/leader-caller.js";

/** Time for the answer to travel back, milliseconds: callers are a few milliseconds away. */
const reserveMs = 30;
/** Time in which a leader commits and answers, milliseconds; with less left a request is not sent, so that its refusal is certain. */
const minHoldMs = 60;
/** Longest time that a request is held for an answer of the leader, milliseconds. */
const maxHoldMs = 2_500;
const retryAfterS = 1;

/** Passes callers' requests about jobs on to the leader. */
export class JobGateway {
    /**
     * @param caller - the way to the leader
     * @param log - decisions
     */
    constructor(private readonly caller: Pick<LeaderCaller, "send">, private readonly log: Pick<DecisionLog, "note">) {}

    /**
     * Answers a request. While a leader is being elected the request is kept for it; when none can be reached the answer
     * is given at once: that nothing has run, or, when the request may have reached a leader, that this is not known.
     * @param call - the request
     * @param deadlineMs - milliseconds that the caller waits
     * @returns the answer
     */
    async handleCall(call: JobCall, deadlineMs: number): Promise<JobAnswer> {
        const timeoutMs = Math.min(maxHoldMs, deadlineMs - reserveMs);
        if (timeoutMs < minHoldMs) {
            const reason = `too little time: ${deadlineMs} ms`;
            this.log.note(DecisionKind.CallRefused, { verb: call.verb, path: call.path, reason });
            return { outcome: JobOutcome.Unavailable, retryAfterS, reason };
        }
        const reply = await this.caller.send("job", call, timeoutMs);
        if (reply.isOk) {
            return reply.value;
        }
        const { kind, detail } = reply.error;
        const isHarmless = kind === CallFailureKind.NotSent || call.verb === JobVerb.Read;
        const outcome = isHarmless ? JobOutcome.Unavailable : JobOutcome.Unknown;
        this.log.note(DecisionKind.CallUnanswered, { verb: call.verb, path: call.path, outcome, detail });
        return outcome === JobOutcome.Unavailable ? { outcome, retryAfterS, reason: detail } : { outcome };
    }
}
