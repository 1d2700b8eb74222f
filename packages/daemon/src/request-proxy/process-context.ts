import type { Clock } from "../clock/clock.js";
import type { FaultListener } from "../containment/fault-listener.js";
import type { EventLog } from "../events/event-log.js";
import type { Metrics } from "../metrics/metrics.js";
import type { PeerClients } from "../peer/peer-clients.js";
import type { Settings } from "../settings/settings.js";
import type { LeaderRpcClient } from "./leader-client/leader-rpc-client.js";

/** Settings and services that all components of the process share. */
export interface ProcessContext {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
    readonly clients: PeerClients;
    readonly leaderClient: LeaderRpcClient;
    /** Called with each fault of work for one call, VM or peer. */
    readonly noteFault: FaultListener;
}
