import type { FleetConfiguration } from "@daisylock/core/configuration/fleet-configuration.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";

import type { ConfigurationReply } from "./configuration-reply.js";
import type { JobCall } from "./job-call.js";
import type { JobReply } from "./job-reply.js";
import type { MaintenanceWaveProgress } from "./maintenance-wave-progress.js";
import type { MaintenanceWaveRequest } from "./maintenance-wave-request.js";

/** The calls that only the leader answers. Each may be sent again with the same meaning. */
export interface LeaderCalls {
    job: { request: JobCall; reply: JobReply };
    putConfiguration: { request: FleetConfiguration; reply: ConfigurationReply };
    readConfiguration: { request: Record<string, never>; reply: { source: string | undefined } };
    report: { request: TargetReport; reply: { isNewest: boolean } };
    leave: { request: { id: string }; reply: { isKnown: boolean } };
    startUpkeep: { request: MaintenanceWaveRequest; reply: { isNew: boolean } };
    readUpkeep: { request: { number: number }; reply: MaintenanceWaveProgress };
    /** Asks whether jobs can be accepted, and for the peer addresses of the keepers that vote. */
    ping: { request: Record<string, never>; reply: { hasConfiguration: boolean; keepers: readonly string[] } };
    /** Asks whether a keeper leads, even if too few keepers vote yet to accept anything. */
    findLeader: { request: Record<string, never>; reply: Record<string, never> };
    /** Asks to receive the replicated log, under the id of the caller's disk. */
    join: { request: { id: string; address: string }; reply: { isMember: boolean } };
}
