import { EventKind } from "@daisylock/core/events/event-kind.js";

import type { Clock } from "../clock/clock.js";
import { runGoroutine } from "../concurrency/run-goroutine.js";
import { EventLog } from "../events/event-log.js";
import { MetricName } from "../metrics/metric-name.js";
import { Metrics } from "../metrics/metrics.js";
import { PeerClients } from "../peer/peer-clients.js";
import { PeerListener } from "../peer/peer-listener.js";
import { describeError } from "../process-failure/describe-error.js";
import { Role } from "../settings/role.js";
import type { Settings } from "../settings/settings.js";
import type { ChildSpec } from "../supervision/child-spec.js";
import { ChildStopped } from "../supervision/child-stopped.js";
import { Supervisor } from "../supervision/supervisor.js";
import { buildPeerHandlers } from "./build-peer-handlers.js";
import { EntryComponents } from "./entry/entry-components.js";
import { KeeperComponents } from "./keeper/keeper-components.js";
import { LeaderRpcClient } from "./leader-client/leader-rpc-client.js";
import { LocalRequestHandler } from "./operator/local-request-handler.js";
import { OperatorListener } from "./operator/operator-listener.js";
import type { ProcessContext } from "./process-context.js";

const restartPolicy = { maxRestarts: 3, periodMs: 60_000, delayMs: 500 };

/** A process of the request proxy, with the root of its supervision tree. */
export class ProxyDaemon {
    readonly events: EventLog;
    private readonly context: ProcessContext;
    private readonly rootSupervisor: Supervisor;

    /**
     * @param settings - validated settings
     * @param clock - monotonic and wall clock
     */
    constructor(settings: Settings, clock: Clock) {
        const { node, cluster, limits } = settings;
        this.events = new EventLog(node.name, node.zone, clock, limits.events);
        const clients = new PeerClients(cluster.secret, this.events, cluster.dial);
        const relays = cluster.entries.filter(address => address !== settings.listen.peers);
        const metrics = new Metrics(settings.metrics.statsd, node.name, node.zone);
        this.context = {
            settings,
            clock,
            events: this.events,
            metrics,
            noteFault: ({ work, subject, error }) => {
                const { error: name, message, stack = "" } = describeError(error);
                const detail = `${work} ${subject}: ${name}: ${message}\n${stack}`;
                this.events.record(EventKind.WorkFailed, { detail });
                metrics.addCount(MetricName.WorkFaults, { work });
            },
            clients,
            leaderClient: new LeaderRpcClient(clients, clock, cluster.keepers, relays),
        };
        this.rootSupervisor = new Supervisor("root", this.listChildren(), restartPolicy, clock, this.events);
    }

    /**
     * Runs until stopped.
     * @returns a promise that resolves once all components have stopped
     * @throws Escalation when the components fail more often than the restart policy allows
     */
    run(): Promise<void> {
        this.events.addListener(event => {
            if (event.kind === EventKind.InvariantBroken) {
                this.context.metrics.addCount(MetricName.InvariantsBroken);
            }
            if (event.kind === EventKind.ChildRestarted) {
                this.context.metrics.addCount(MetricName.ChildRestarts);
            }
        });
        this.events.record(EventKind.ProcessStarted, { detail: this.context.settings.node.roles.join(", ") });
        return new Promise((resolve, reject) => {
            runGoroutine(() => this.rootSupervisor.run(), error => {
                this.context.clients.close();
                this.context.metrics.close();
                if (error === undefined) {
                    resolve();
                }
                else {
                    reject(error instanceof Error ? error : new ChildStopped("root"));
                }
            });
        });
    }

    /** Stops the components in reverse start order: the entry, which serves callers, before the keeper, which holds state. */
    stop(): void {
        this.rootSupervisor.stop();
    }

    private listChildren(): ChildSpec[] {
        const { settings, clock, events, clients, noteFault } = this.context;
        const { node, listen, cluster } = settings;
        const keeperComponents = node.roles.includes(Role.Keeper) && node.data !== undefined
            ? new KeeperComponents(this.context, node.data)
            : undefined;
        const entryComponents =
            node.roles.includes(Role.Entry) && listen.callers !== undefined && listen.targets !== undefined
                ? new EntryComponents(this.context, listen.callers, listen.targets)
                : undefined;
        const localRequests = new LocalRequestHandler(
            settings,
            keeperComponents?.keeper,
            entryComponents?.state,
            clients,
        );
        const handlers = buildPeerHandlers({
            processContext: this.context,
            keeperComponents,
            registry: entryComponents?.registry,
            localRequests,
        });
        const children: ChildSpec[] = [{
            name: "peer-listener",
            create: () => new PeerListener(listen.peers, cluster.secret, handlers, clock, events),
        }];
        if (keeperComponents !== undefined) {
            children.push({ name: "keeper-supervisor", create: () => keeperComponents.buildSupervisor() });
        }
        if (entryComponents !== undefined) {
            children.push({ name: "entry-supervisor", create: () => entryComponents.buildSupervisor() });
        }
        children.push({
            name: "operator-listener",
            create: () => new OperatorListener(settings, request => handlers.operate(request), noteFault),
        });
        return children;
    }
}
