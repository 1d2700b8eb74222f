import { findQueue } from "@daisylock/core/configuration/find-queue.js";
import type { FleetConfiguration } from "@daisylock/core/configuration/fleet-configuration.js";
import type { QueueConfiguration } from "@daisylock/core/configuration/queue-configuration.js";
import { readConfigurationIndex } from "@daisylock/core/configuration/read-configuration-index.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { SubmitJobOutcome } from "@daisylock/core/control/submit-job-outcome.js";
import { countJobBytes } from "@daisylock/core/fleet/count-job-bytes.js";
import { computeJobBytes } from "@daisylock/core/jobs/compute-job-bytes.js";
import { JobPhase } from "@daisylock/core/jobs/job-phase.js";
import type { JobRequest } from "@daisylock/core/jobs/job-request.js";
import type { Job } from "@daisylock/core/jobs/job.js";
import { validateJob } from "@daisylock/core/jobs/validate-job.js";
import { JobAction } from "@daisylock/protocol/fleet/job-action.js";
import type { JobCall } from "@daisylock/protocol/fleet/job-call.js";
import { JobOutcome } from "@daisylock/protocol/fleet/job-outcome.js";
import type { JobReply } from "@daisylock/protocol/fleet/job-reply.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { BegunJobRegistry } from "./begun-job-registry.js";
import { CommitsUnderWay } from "./commits-under-way.js";
import type { JobStateBudget } from "./job-state-budget.js";
import type { Leadership } from "./leadership.js";

const jobIdPattern = /^[0-9a-f]{16}$/;
/** Retry delay in replies while there is no configuration, seconds. */
const unavailableRetryS = 1;

/** A call whose queue and client account have been determined. */
interface AdmittedCall {
    readonly call: JobCall;
    readonly queue: QueueConfiguration;
    /** Name of the client account; empty for a public queue. */
    readonly account: string;
    /** Job id; empty when the call is about the queue. */
    readonly id: string;
}

/** Handles callers' requests about jobs, on the leader. */
export class JobCallHandler {
    private readonly submissions = new CommitsUnderWay<JobReply | undefined>();

    /**
     * @param leadership - leadership state of this process
     * @param log - decision log
     * @param budget - limits the memory of accepted jobs
     * @param begunJobs - knows which jobs have begun
     * @param keepStateS - time for which the state of an ended job is kept, seconds
     * @param handleJobChange - called when tasks may have to be started or stopped, with the job if it is new
     */
    constructor(
        private readonly leadership: Leadership,
        private readonly log: DecisionLog,
        private readonly budget: JobStateBudget,
        private readonly begunJobs: Pick<BegunJobRegistry, "readPhase">,
        private readonly keepStateS: number,
        private readonly handleJobChange: (accepted?: Job) => void,
    ) {}

    /**
     * Handles one request.
     * @param call - the request
     * @returns the reply, or a not-leader reply
     */
    handleCall(call: JobCall): Promise<LeaderReply<JobReply>> {
        return this.leadership.serveCall(async () => {
            const admitted = this.checkCall(call);
            if ("outcome" in admitted) {
                return this.refuseCall(admitted, call);
            }
            return this.handleAdmittedCall(admitted);
        });
    }

    private checkCall(call: JobCall): AdmittedCall | JobReply {
        const { configuration } = this.leadership.readFleet();
        if (configuration === undefined) {
            return { outcome: JobOutcome.Unavailable, retryAfterS: unavailableRetryS, reason: "no configuration yet" };
        }
        const queue = findQueue(configuration, call.host, call.path);
        if (queue === undefined) {
            return { outcome: JobOutcome.NoQueue };
        }
        const account = queue.isPublic
            ? ""
            : findAccount(configuration, call.key);
        if (account === undefined) {
            return { outcome: JobOutcome.Unauthorized };
        }
        const id = call.path.slice(queue.pathPrefix.length);
        const isQueueRead = call.verb === JobAction.Read && id === "";
        if (!isQueueRead && !jobIdPattern.test(id)) {
            return { outcome: JobOutcome.Invalid, reason: "job id is not 16 hexadecimal digits" };
        }
        return { call, queue, account, id };
    }

    /**
     * Refuses a call. That a queue or a key is unknown may be due to an outdated configuration, so leadership is
     * confirmed and the call checked again first. Returns `undefined` when leadership cannot be confirmed.
     */
    private async refuseCall(reply: JobReply, call: JobCall): Promise<JobReply | undefined> {
        if (reply.outcome === JobOutcome.Unavailable || reply.outcome === JobOutcome.Invalid) {
            return reply;
        }
        if (!await this.leadership.confirmLeadership()) {
            return undefined;
        }
        const checked = this.checkCall(call);
        if (!("outcome" in checked)) {
            return this.handleAdmittedCall(checked);
        }
        const version = this.leadership.readFleet().configuration?.version;
        this.log.record(DecisionKind.KeyRefused, {
            outcome: checked.outcome,
            path: call.path,
            host: call.host,
            version,
        });
        return checked;
    }

    private handleAdmittedCall(admitted: AdmittedCall): Promise<JobReply | undefined> {
        switch (admitted.call.verb) {
            case JobAction.Submit:
                return this.addJob(admitted, admitted.call.job);
            case JobAction.Read:
                return admitted.id === "" ? this.readQueue(admitted) : this.readJob(admitted);
            case JobAction.Cancel:
                return this.stopJob(admitted);
        }
    }

    private async addJob(call: AdmittedCall, request: JobRequest | undefined): Promise<JobReply | undefined> {
        const { queue, account, id } = call;
        const errors = request === undefined ? ["no job"] : validateJob(request);
        if (request === undefined || errors.length > 0) {
            this.log.record(DecisionKind.JobRefused, { job: id, queue: queue.name, reason: errors.join(", ") });
            return { outcome: JobOutcome.Invalid, reason: errors.join(", ") };
        }
        // Callers repeat what is slow to commit; what is applied is committed, so that it needs no entry of the log.
        return this.findJob(call) === undefined
            ? this.submissions.runOnce(JSON.stringify([id, queue.name, account]), () => this.recordJob(call, request))
            : { outcome: JobOutcome.Accepted };
    }

    private async recordJob(call: AdmittedCall, request: JobRequest): Promise<JobReply | undefined> {
        const { queue, account, id } = call;
        const bytes = computeJobBytes({ ...request, occurrences: new Map() });
        if (!this.isJobWithinLimit(call, bytes)) {
            // An earlier call with this id may have been accepted and not be applied yet.
            if (!await this.leadership.confirmLeadership()) {
                return undefined;
            }
            if (!this.isJobWithinLimit(call, bytes)) {
                return this.refuseJob(call, bytes);
            }
        }
        const result = await this.budget.countWhile(account, bytes, () =>
            this.leadership.recordCommand({
                kind: CommandKind.SubmitJob,
                id,
                queue: queue.name,
                account,
                request,
                atMs: Date.now(),
            }));
        switch (result) {
            case undefined:
                return undefined;
            case SubmitJobOutcome.UnknownQueue:
                return { outcome: JobOutcome.NoQueue };
            case SubmitJobOutcome.IdInUse:
                return { outcome: JobOutcome.Invalid, reason: "the id is taken" };
            case SubmitJobOutcome.Accepted:
                this.log.record(DecisionKind.JobAccepted, {
                    job: id,
                    queue: queue.name,
                    account,
                    tasks: request.steps.reduce((sum, step) => sum + step.count, 0),
                    estimates: request.steps.map(step => `${step.count}x${step.estimateMs}`).join(" "),
                });
                this.budget.noteAccepted(this.leadership.readFleet(), bytes);
                this.handleJobChange(this.leadership.readFleet().jobs.get(id));
                return { outcome: JobOutcome.Accepted };
            case SubmitJobOutcome.AlreadyAccepted:
                return { outcome: JobOutcome.Accepted };
        }
    }

    private isJobWithinLimit({ account, id }: AdmittedCall, bytes: number): boolean {
        const fleet = this.leadership.readFleet();
        return fleet.jobs.has(id) || this.budget.isWithinLimit(fleet, account, bytes);
    }

    private refuseJob({ queue, account, id }: AdmittedCall, bytes: number): JobReply {
        const fleet = this.leadership.readFleet();
        const retryAfterS = this.budget.computeRetryS(fleet, account, bytes, this.keepStateS);
        const reason = "the memory for jobs is full";
        this.log.record(DecisionKind.JobRefused, {
            job: id,
            queue: queue.name,
            reason,
            account,
            bytes,
            accountBytes: fleet.accountBytes.get(account) ?? 0,
            jobBytes: countJobBytes(fleet),
            retryAfterS,
        });
        return { outcome: JobOutcome.Refused, reason, retryAfterS };
    }

    /** Finds the job that a call is about, if it is applied and of the call's queue and account. */
    private findJob({ queue, account, id }: AdmittedCall): Job | undefined {
        const job = this.leadership.readFleet().jobs.get(id);
        return job?.queue === queue.name && job.account === account ? job : undefined;
    }

    private async readJob(call: AdmittedCall): Promise<JobReply | undefined> {
        if (this.findJob(call) === undefined && !await this.leadership.confirmLeadership()) {
            return undefined;
        }
        const job = this.findJob(call);
        return job === undefined
            ? { outcome: JobOutcome.Gone }
            : { outcome: JobOutcome.State, phase: this.begunJobs.readPhase(job) };
    }

    private async stopJob({ queue, account, id }: AdmittedCall): Promise<JobReply | undefined> {
        const job = this.leadership.readFleet().jobs.get(id);
        if (job !== undefined && (job.queue !== queue.name || job.account !== account)) {
            return { outcome: JobOutcome.Gone };
        }
        const isKnown = await this.leadership.recordCommand({ kind: CommandKind.CancelJob, id, atMs: Date.now() });
        if (isKnown === undefined) {
            return undefined;
        }
        this.log.record(DecisionKind.JobCancelled, { job: id, queue: queue.name, known: isKnown });
        this.handleJobChange();
        return { outcome: isKnown ? JobOutcome.Cancelled : JobOutcome.Gone };
    }

    private async readQueue({ queue }: AdmittedCall): Promise<JobReply> {
        return { outcome: JobOutcome.Pending, pending: this.countPending(queue) };
    }

    private countPending(queue: QueueConfiguration): number {
        const { jobs, activeJobs } = this.leadership.readFleet();
        let pending = 0;
        for (const id of activeJobs) {
            const job = jobs.get(id);
            const isPending = job?.queue === queue.name && this.begunJobs.readPhase(job) === JobPhase.Queued;
            pending += isPending ? 1 : 0;
        }
        return pending;
    }
}

/** Finds the name of the account that a key belongs to. */
function findAccount(configuration: FleetConfiguration, key: string): string | undefined {
    return key === "" ? undefined : readConfigurationIndex(configuration).accountsByKey.get(key)?.name;
}
