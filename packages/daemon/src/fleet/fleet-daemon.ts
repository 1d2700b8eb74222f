import type { RaftTiming } from "@daisylock/core/log/raft-timing.js";

import { HttpCaller } from "../calls/http-caller.js";
import type { Clock } from "../clock/clock.js";
import { runGoroutine } from "../concurrency/run-goroutine.js";
import { EventLog } from "../events/event-log.js";
import { Keeper } from "../root/keeper/keeper.js";
import { FileKeeperDisk } from "../root/keeper/storage/file-keeper-disk.js";
import { parseAddress } from "../settings/parse-address.js";
import { Role } from "../settings/role.js";
import type { ChildSpec } from "../supervision/child-spec.js";
import { ChildStopped } from "../supervision/child-stopped.js";
import { Supervisor } from "../supervision/supervisor.js";
import type { FleetAdapter } from "./adapter/fleet-adapter.js";
import { JobGateway } from "./entry/job-gateway.js";
import { LeaderWatch } from "./entry/leader-watch.js";
import { ControlRelay } from "./keeper/control-relay.js";
import { MemberManager } from "./keeper/member-manager.js";
import { LeaderPart } from "./leader/leader-part.js";
import { Leadership } from "./leader/leadership.js";
import { DecisionKind } from "./log/decision-kind.js";
import { DecisionLog } from "./log/decision-log.js";
import { FleetMetrics } from "./metrics/fleet-metrics.js";
import { MetricsListener } from "./metrics/metrics-listener.js";
import { buildPeerAddress } from "./peers/build-peer-address.js";
import { LeaderCaller } from "./peers/leader-caller.js";
import { PeerServer } from "./peers/peer-server.js";
import { RaftSender } from "./peers/raft-sender.js";
import type { FleetSettings } from "./settings/fleet-settings.js";
import { SettingsWatch } from "./settings/settings-watch.js";

/** A part of the process that fails ends it; what it claimed is loaded from disk again after the restart. */
const restartPolicy = { maxRestarts: 0, periodMs: 1, delayMs: 0 };
/** Connections to one other process; calls wait for each other beyond that. */
const peerConnections = 8;
/** Time for a successor to be elected before the process stops, milliseconds. */
const handoverMs = 300;
/** Events kept for people; decisions are in the log. */
const keptEvents = 256;
/** Times of the replicated log for keepers a millisecond apart, milliseconds. */
const timing: RaftTiming = { heartbeat: 75, electionMin: 320, electionMax: 560, lease: 260 };

/** One process that serves jobs: the root of its supervisor tree. */
export class FleetDaemon {
    private readonly log: DecisionLog;
    private readonly metrics = new FleetMetrics();
    private readonly events: EventLog;
    private readonly peers = new HttpCaller(peerConnections);
    private readonly seeds: readonly string[];
    private readonly caller: LeaderCaller;
    private readonly watch: SettingsWatch;
    private readonly root: Supervisor;
    private keeper: Keeper | undefined;

    /**
     * @param settings - checked settings
     * @param adapter - the platform's language
     * @param clock - the clocks
     * @param file - where the settings came from, to be looked at again
     */
    constructor(
        private readonly settings: FleetSettings,
        private readonly adapter: FleetAdapter,
        private readonly clock: Clock,
        file: string,
    ) {
        const { node, log } = settings;
        this.log = new DecisionLog(node.name, log.level);
        this.log.addListener({
            noteDecision: (kind, fields) => this.metrics.noteDecision(kind, fields),
            noteDroppedLine: () => this.metrics.noteDroppedLine(),
        });
        this.events = new EventLog(node.name, node.zone, clock, keptEvents);
        this.seeds = listSeeds(settings);
        this.caller = new LeaderCaller(this.peers, this.seeds, clock);
        this.watch = new SettingsWatch(file, settings, next => this.applySettings(next), this.log, clock);
        const children = [
            { name: "settings-watch", create: () => this.watch },
            ...this.listMetricsChildren(),
            ...node.roles.includes(Role.Keeper) ? this.listKeeperChildren() : [],
            ...node.roles.includes(Role.Entry) ? this.listEntryChildren() : [],
        ];
        this.root = new Supervisor("root", children, restartPolicy, clock, this.events);
    }

    /**
     * Runs until stopped.
     * @returns resolves after a stop
     * @throws Escalation when a part failed
     */
    run(): Promise<void> {
        const { node, cluster } = this.settings;
        this.events.addListener(({ kind, detail }) => {
            this.log.note(DecisionKind.ProcessEvent, { event: kind, detail });
        });
        this.log.note(DecisionKind.ProcessStarted, {
            roles: node.roles.join(","),
            zone: node.zone,
            seeds: cluster.seeds.join(","),
            founding: cluster.found,
        });
        return new Promise((resolve, reject) => {
            runGoroutine(() => this.root.run(), error => {
                this.peers.close();
                if (error === undefined) {
                    resolve();
                }
                else {
                    reject(error instanceof Error ? error : new ChildStopped("root"));
                }
            });
        });
    }

    /** Stops gracefully; a leader first lets another keeper lead, and passes calls on to it for a moment. */
    stop(): void {
        this.log.note(DecisionKind.ProcessStopping, {});
        const handedOver = this.keeper?.releaseLeadership() ?? Promise.resolve(undefined);
        void handedOver.then(successor => {
            if (successor === undefined) {
                this.root.stop();
                return;
            }
            this.log.note(DecisionKind.LeadershipHandedOver, { successor });
            this.clock.schedule(handoverMs, () => this.root.stop());
        });
    }

    /** Looks at the settings file again at once, instead of within seconds. */
    updateSettings(): void {
        this.watch.startRound();
    }

    private applySettings(settings: FleetSettings): void {
        this.log.setLevel(settings.log.level);
        this.caller.setSeeds(listSeeds(settings));
    }

    private listMetricsChildren(): ChildSpec[] {
        const { metrics } = this.settings.listen;
        return metrics === ""
            ? []
            : [{ name: "metrics-listener", create: () => new MetricsListener(metrics, this.metrics) }];
    }

    private listEntryChildren(): ChildSpec[] {
        const gateway = new JobGateway(this.caller, this.log);
        const watch = new LeaderWatch(this.caller, this.log, this.clock);
        return [
            { name: "leader-watch", create: () => watch },
            { name: "caller-listener", create: () => this.adapter.createCallerListener(this.settings, gateway) },
            {
                name: "ready-listener",
                create: () => this.adapter.createReadyListener(this.settings, () => watch.isReady()),
            },
        ];
    }

    private listKeeperChildren(): ChildSpec[] {
        const { settings, clock, log } = this;
        const { node, listen, cluster, limits } = settings;
        const sender = new RaftSender(this.peers, listen.peers);
        const keeper = new Keeper({
            disk: new FileKeeperDisk(node.data, node.name),
            clock,
            random: Math.random,
            timing,
            events: this.events,
            metrics: this.metrics,
            snapshotEntries: limits.snapshot_entries,
            send: (address, messages) => sender.sendMessages(address, messages),
            handleApplied: () => leader.startRound(),
        });
        this.keeper = keeper;
        const voters = 2 * cluster.tolerated_losses + 1;
        const leadership = new Leadership(keeper, Math.min(this.seeds.length, cluster.tolerated_losses + 1));
        const leader = new LeaderPart({
            settings,
            leadership,
            client: this.adapter.createTargetClient(),
            vms: this.adapter.createVmService(settings),
            advice: this.adapter.createAdviceService(settings),
            clock,
            log,
        });
        const plan = { address: listen.peers, seeds: this.seeds, isFounding: cluster.found, voters };
        const members = new MemberManager(keeper, this.caller, plan, log, clock);
        const handlers = leader.buildHandlers({
            join: request => members.handleJoin(request),
            findLeader: () => members.handleSearch(),
        });
        const controlPort = parseAddress(listen.control).port;
        const relay = new ControlRelay(handlers, this.caller, () => {
            const address = keeper.readView()?.leaderAddress;
            return address === undefined || address === listen.peers
                ? undefined
                : buildPeerAddress(address, controlPort);
        });
        return [
            { name: "keeper", create: () => keeper },
            {
                name: "peer-server",
                create: () =>
                    new PeerServer(listen.peers, (messages, from) => keeper.receive(messages, from), handlers),
            },
            { name: "member-manager", create: () => members },
            ...leader.listChildren(),
            { name: "control-listener", create: () => this.adapter.createControlListener(settings, relay, log) },
        ];
    }
}

function listSeeds({ cluster }: FleetSettings): string[] {
    return cluster.seeds.map(seed => buildPeerAddress(seed, cluster.peer_port));
}
