import type { RaftTiming } from "@daisylock/core/raft/raft-timing.js";

import { ChannelClient } from "../channel/channel-client.js";
import type { Clock } from "../clock/clock.js";
import { runGoroutine } from "../concurrency/run-goroutine.js";
import type { FaultListener } from "../containment/fault-listener.js";
import { startContained } from "../containment/start-contained.js";
import { WorkKind } from "../containment/work-kind.js";
import { EventLog } from "../events/event-log.js";
import { HttpClient } from "../http-client/http-client.js";
import { MetricName } from "../metrics/metric-name.js";
import { Keeper } from "../request-proxy/keeper/keeper.js";
import { FileKeeperStorage } from "../request-proxy/keeper/storage/file-keeper-storage.js";
import { Role } from "../settings/role.js";
import type { ChildSpec } from "../supervision/child-spec.js";
import { ChildStopped } from "../supervision/child-stopped.js";
import { Supervisor } from "../supervision/supervisor.js";
import type { FleetAdapter } from "./adapter/fleet-adapter.js";
import { JobGateway } from "./entry/job-gateway.js";
import { LeaderMonitor } from "./entry/leader-monitor.js";
import { ForwardingControlApi } from "./keeper/forwarding-control-api.js";
import { MemberManager } from "./keeper/member-manager.js";
import { LeaderComponents } from "./leader/leader-components.js";
import { Leadership } from "./leader/leadership.js";
import { LoadMeter } from "./leader/load-meter.js";
import { UtilizationMonitor } from "./leader/utilization-monitor.js";
import { createFaultListener } from "./logging/create-fault-listener.js";
import { DecisionKind } from "./logging/decision-kind.js";
import { DecisionLog } from "./logging/decision-log.js";
import { FleetMetrics } from "./metrics/fleet-metrics.js";
import { MetricsListener } from "./metrics/metrics-listener.js";
import { RequestDirection } from "./metrics/request-direction.js";
import { buildListenerAddress } from "./peers/build-listener-address.js";
import { LeaderClient } from "./peers/leader-client.js";
import { PeerRequestHandler } from "./peers/peer-request-handler.js";
import { PeerServer } from "./peers/peer-server.js";
import { RaftSender } from "./peers/raft-sender.js";
import { RelayBatchClient } from "./relay/relay-batch-client.js";
import { RelayDirectory } from "./relay/relay-directory.js";
import { RelayedTargetClient } from "./relay/relayed-target-client.js";
import { TargetRequestRelay } from "./relay/target-request-relay.js";
import type { FleetSettings } from "./settings/fleet-settings.js";
import { SettingsWatcher } from "./settings/settings-watcher.js";
import { TargetRequestSender } from "./targets/target-request-sender.js";

/** A failed component ends the process; after the restart, all state that it acknowledged is loaded from disk. */
const restartPolicy = { maxRestarts: 0, periodMs: 1, delayMs: 0 };
/** Largest number of seeds that settings name; fewer are all keepers of the cluster. */
const maxSeeds = 3;
/** Limit of connections to any one other process; further calls are queued. */
const maxPeerConnections = 8;
/** Time between a leadership transfer and the stop of the process, for the election of the successor, milliseconds. */
const leadershipTransferMs = 300;
/** Events kept in memory for operators; decisions are in the log. */
const eventCapacity = 256;
/** Timing of the replicated log, milliseconds; for a network delay of one millisecond between keepers. */
const raftTiming: RaftTiming = {
    heartbeatIntervalMs: 75,
    minElectionTimeoutMs: 320,
    maxElectionTimeoutMs: 560,
    leaseMs: 260,
    maxLeaseMs: 420,
};

/** One process of the job scheduler: builds its components and runs the root of their supervisor tree. */
export class SchedulerDaemon {
    readonly log: DecisionLog;
    private readonly noteFault: FaultListener;
    private readonly metrics = new FleetMetrics();
    private readonly events: EventLog;
    private readonly peerClient: ChannelClient;
    private readonly seeds: readonly string[];
    private readonly leaderClient: LeaderClient;
    private readonly settingsWatcher: SettingsWatcher;
    private readonly rootSupervisor: Supervisor;
    private readonly load = new LoadMeter();
    private keeper: Keeper | undefined;
    private memberManager: MemberManager | undefined;

    /**
     * @param settings - validated settings
     * @param adapter - implements the protocols of the platform
     * @param clock - monotonic and wall clock
     * @param file - path of the settings file, which is watched for changes
     */
    constructor(
        private readonly settings: FleetSettings,
        private readonly adapter: FleetAdapter,
        private readonly clock: Clock,
        file: string,
    ) {
        const { node, log } = settings;
        this.log = new DecisionLog(node.name, log.level);
        this.noteFault = createFaultListener(this.log);
        this.log.addListener({
            noteDecision: (kind, fields) => this.metrics.noteDecision(kind, fields),
            noteDroppedLine: () => this.metrics.noteDroppedLine(),
        });
        this.events = new EventLog(node.name, node.zone, clock, eventCapacity);
        this.seeds = listSeeds(settings);
        this.peerClient = new ChannelClient(new HttpClient(maxPeerConnections), clock);
        this.leaderClient = new LeaderClient(this.peerClient, this.seeds, clock, this.noteFault);
        this.settingsWatcher = new SettingsWatcher(file, settings, next => this.applySettings(next), this.log, clock);
        const children = [
            { name: "settings-watch", create: () => this.settingsWatcher },
            ...this.listMetricsChildren(),
            ...node.roles.includes(Role.Keeper) ? this.listKeeperChildren() : [],
            ...node.roles.includes(Role.Entry) ? this.listEntryChildren() : [],
        ];
        this.rootSupervisor = new Supervisor("root", children, restartPolicy, clock, this.events);
    }

    /**
     * Runs the process until it is stopped.
     * @returns resolves after a graceful stop
     * @throws Escalation when a component failed
     */
    run(): Promise<void> {
        const { node, cluster } = this.settings;
        this.events.addListener(({ kind, detail }) => {
            this.log.record(DecisionKind.ProcessEvent, { event: kind, detail });
        });
        this.log.record(DecisionKind.ProcessStarted, {
            roles: node.roles.join(","),
            zone: node.zone,
            seeds: cluster.seeds.join(","),
            founding: cluster.found,
        });
        return new Promise((resolve, reject) => {
            runGoroutine(() => this.rootSupervisor.run(), error => {
                this.peerClient.close();
                if (error === undefined) {
                    resolve();
                }
                else {
                    reject(error instanceof Error ? error : new ChildStopped("root"));
                }
            });
        });
    }

    /**
     * Stops gracefully. A leader first transfers its leadership and forwards calls while the successor is elected. A keeper
     * lets a learner take its vote, if there is one.
     */
    stop(): void {
        this.log.record(DecisionKind.ProcessStopping, {});
        const work = { work: WorkKind.Departure, subject: this.settings.node.name };
        startContained(this.noteFault, work, async () => {
            try {
                await this.releaseDuties();
            }
            finally {
                this.rootSupervisor.stop();
            }
        });
    }

    /** Hands over the leadership and the vote of a keeper. */
    private async releaseDuties(): Promise<void> {
        const successor = await this.keeper?.startLeadershipTransfer();
        if (successor !== undefined) {
            this.log.record(DecisionKind.LeadershipHandedOver, { successor });
            await new Promise<void>(resolve => {
                this.clock.schedule(leadershipTransferMs, resolve);
            });
        }
        await this.memberManager?.releaseVote();
    }

    /** Checks the settings file at once instead of at the next periodic check. */
    updateSettings(): void {
        this.settingsWatcher.startRound();
    }

    private noteRequest(direction: RequestDirection, kind: string): void {
        this.load.noteRequest(`${direction} ${kind}`);
        this.metrics.addCount(MetricName.PeerRequests, { direction, kind });
    }

    private applySettings(settings: FleetSettings): void {
        this.log.setLevel(settings.log.level);
        this.leaderClient.setSeeds(listSeeds(settings));
    }

    private listMetricsChildren(): ChildSpec[] {
        const { metrics } = this.settings.listen;
        return metrics === ""
            ? []
            : [{ name: "metrics-listener", create: () => new MetricsListener(metrics, this.metrics, this.noteFault) }];
    }

    private listEntryChildren(): ChildSpec[] {
        const gateway = new JobGateway(this.leaderClient, this.log);
        const monitor = new LeaderMonitor(this.leaderClient, this.log, this.clock);
        return [
            { name: "leader-watch", create: () => monitor },
            {
                name: "caller-listener",
                create: () => this.adapter.createCallerListener(this.settings, gateway, this.log),
            },
            {
                name: "ready-listener",
                create: () => this.adapter.createReadyListener(this.settings, () => monitor.isReady(), this.log),
            },
        ];
    }

    private listKeeperChildren(): ChildSpec[] {
        const { settings, clock, log } = this;
        const { node, listen, cluster, limits } = settings;
        const noteSent = (kind: string) => this.noteRequest(RequestDirection.Sent, kind);
        const noteRelayed = (kind: string) => this.noteRequest(RequestDirection.Relayed, kind);
        const noteReceived = (kind: string) => this.noteRequest(RequestDirection.Received, kind);
        const sender = new RaftSender(this.peerClient, listen.peers, this.metrics, this.noteFault);
        const keeper = new Keeper({
            storage: new FileKeeperStorage(node.data, node.name),
            clock,
            random: Math.random,
            timing: raftTiming,
            events: this.events,
            metrics: this.metrics,
            snapshotEntries: limits.snapshot_entries,
            send: (address, messages) => {
                noteSent("log");
                this.load.measure("sent log", () => sender.sendMessages(address, messages));
            },
            handleApplied: () => {
                this.load.noteCommit();
                leader.startScheduling();
            },
            handleWritten: durationMs => this.load.noteWrite(durationMs),
            handleTick: delayMs => this.load.noteTimerDelay(delayMs),
            handleLoaded: loaded => this.log.record(DecisionKind.LogLoaded, { ...loaded }),
            measure: (work, run) => this.load.measure(work, run),
        });
        this.keeper = keeper;
        const targetSender = new TargetRequestSender(this.adapter.createTargetClient(), noteSent);
        const relays = new RelayDirectory(() => keeper.readView(), clock);
        const voterCount = 2 * cluster.tolerated_losses + 1;
        const minVoters = Math.min(this.seeds.length, cluster.tolerated_losses + 1);
        const foundingVoters = this.seeds.length < maxSeeds ? this.seeds.length : voterCount;
        const leadership = new Leadership(keeper, minVoters, { voterCount: foundingVoters, clock });
        const leader = new LeaderComponents({
            settings,
            leadership,
            client: new RelayedTargetClient(
                targetSender,
                new RelayBatchClient(this.peerClient, clock),
                this.peerClient,
                relays,
                log,
                clock,
                noteRelayed,
            ),
            vms: this.adapter.createVmService(settings),
            advice: this.adapter.createAdviceService(settings),
            clock,
            log,
            metrics: this.metrics,
            load: this.load,
            utilization: new UtilizationMonitor(clock),
        });
        const membership = { address: listen.peers, seeds: this.seeds, isBootstrapping: cluster.found, voterCount };
        const memberManager = new MemberManager(keeper, this.leaderClient, membership, log, clock);
        this.memberManager = memberManager;
        const handlers = leader.buildHandlers({
            join: request => memberManager.handleJoin(request),
            findLeader: () => memberManager.handleFindLeader(),
            depart: request => memberManager.handleDepart(request),
        });
        const controlApi = new ForwardingControlApi(handlers, this.leaderClient, {
            findTarget: id => leadership.readFleet().targets.get(id),
            clock,
            noteFault: this.noteFault,
        });
        return [
            { name: "keeper", create: () => keeper },
            {
                name: "peer-server",
                create: () =>
                    new PeerServer(
                        listen.peers,
                        new PeerRequestHandler(
                            (messages, from) => keeper.receive(messages, from),
                            handlers,
                            new TargetRequestRelay(targetSender, clock, this.noteFault),
                            noteReceived,
                            (work, run) => this.load.measure(work, run),
                        ),
                        this.noteFault,
                    ),
            },
            { name: "member-manager", create: () => memberManager },
            ...leader.listChildren(),
            { name: "control-listener", create: () => this.adapter.createControlListener(settings, controlApi, log) },
        ];
    }
}

function listSeeds({ cluster }: FleetSettings): string[] {
    return cluster.seeds.map(seed => buildListenerAddress(seed, cluster.peer_port));
}
