import type { Clock } from "../../../clock/clock.js";
import type { EventLog } from "../../../events/event-log.js";
import type { PeerClients } from "../../../peer/peer-clients.js";
import type { Allocator } from "../allocator.js";
import type { Keeper } from "../keeper.js";

/** Components of the leader that the handlers of operator requests use. */
export interface OperatorContext {
    readonly keeper: Keeper;
    readonly allocator: Allocator;
    readonly clients: PeerClients;
    readonly clock: Clock;
    readonly events: EventLog;
}
