import type { FleetConfiguration } from "@daisylock/core/configuration/fleet-configuration.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";

import type { ConfigurationReply } from "./configuration-reply.js";
import type { DepartureState } from "./departure-state.js";
import type { JobCall } from "./job-call.js";
import type { JobReply } from "./job-reply.js";
import type { MaintenanceWaveProgress } from "./maintenance-wave-progress.js";
import type { MaintenanceWaveRequest } from "./maintenance-wave-request.js";
import type { ReportReply } from "./report-reply.js";
import type { TargetLeave } from "./target-leave.js";

/** Request and reply types of the calls that only the leader serves. All of them are idempotent. */
export interface LeaderCalls {
    job: { request: JobCall; reply: JobReply };
    putConfiguration: { request: FleetConfiguration; reply: ConfigurationReply };
    readConfiguration: { request: Record<string, never>; reply: { source: string | undefined } };
    report: { request: TargetReport; reply: ReportReply };
    /**
     * Passes on the heartbeats that a keeper has collected. The leader replies to them in their order, and leaves out those
     * that it does not handle at once; each of these is repeated by `report`.
     */
    reports: {
        request: { reports: readonly TargetReport[] };
        reply: { replies: readonly { reply: ReportReply | undefined }[] };
    };
    leave: { request: TargetLeave; reply: { isKnown: boolean } };
    startUpkeep: { request: MaintenanceWaveRequest; reply: { isNew: boolean } };
    readUpkeep: { request: { number: number }; reply: MaintenanceWaveProgress };
    /** Reports whether jobs can be accepted, and the peer addresses of the voting keepers. */
    ping: { request: Record<string, never>; reply: { hasConfiguration: boolean; keepers: readonly string[] } };
    /** Confirms that a keeper is the leader, even if there are not yet enough voters to accept jobs. */
    findLeader: { request: Record<string, never>; reply: Record<string, never> };
    /** Adds the calling keeper as a learner of the replicated log, under the id stored on its disk. */
    join: { request: { id: string; address: string }; reply: { isMember: boolean } };
    /** Replaces the calling keeper, which is about to stop, by a learner. Repeated until it is no voter. */
    depart: { request: { id: string }; reply: { state: DepartureState } };
}
