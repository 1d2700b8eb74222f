import type { FleetConfiguration } from "@daisylock/core/configuration/fleet-configuration.js";
import type { TargetReport } from "@daisylock/core/targets/target-report.js";

import type { ConfigurationReply } from "./configuration-reply.js";
import type { JobAnswer } from "./job-answer.js";
import type { JobCall } from "./job-call.js";
import type { UpkeepOrder } from "./upkeep-order.js";
import type { UpkeepView } from "./upkeep-view.js";

/** The calls that only the leader answers. Each may be sent again with the same meaning. */
export interface FleetCalls {
    job: { request: JobCall; reply: JobAnswer };
    putConfiguration: { request: FleetConfiguration; reply: ConfigurationReply };
    readConfiguration: { request: Record<string, never>; reply: { source: string | undefined } };
    report: { request: TargetReport; reply: { isNewest: boolean } };
    leave: { request: { id: string }; reply: { isKnown: boolean } };
    startUpkeep: { request: UpkeepOrder; reply: { isNew: boolean } };
    readUpkeep: { request: { number: number }; reply: UpkeepView };
    /** Asks whether jobs can be accepted, and for the peer addresses of the keepers that vote. */
    ping: { request: Record<string, never>; reply: { hasConfiguration: boolean; keepers: readonly string[] } };
    /** Asks whether a keeper leads, even if too few keepers vote yet to accept anything. */
    findLeader: { request: Record<string, never>; reply: Record<string, never> };
    /** Asks to receive the replicated log, under the id of the caller's disk. */
    join: { request: { id: string; address: string }; reply: { isMember: boolean } };
}
