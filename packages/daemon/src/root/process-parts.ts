import type { Clock } from "../clock/clock.js";
import type { EventLog } from "../events/event-log.js";
import type { Metrics } from "../metrics/metrics.js";
import type { PeerClients } from "../peer/peer-clients.js";
import type { Settings } from "../settings/settings.js";
import type { ControlClient } from "./control/control-client.js";

/** What every part of the process shares. */
export interface ProcessParts {
    readonly settings: Settings;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly metrics: Metrics;
    readonly clients: PeerClients;
    readonly control: ControlClient;
}
