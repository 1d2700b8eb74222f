import { applyCommand } from "@daisylock/core/control/apply-command.js";
import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type { ControlState } from "@daisylock/core/control/control-state.js";
import { createControlState } from "@daisylock/core/control/create-control-state.js";
import { decodeControlState } from "@daisylock/core/control/decode-control-state.js";
import { encodeControlState } from "@daisylock/core/control/encode-control-state.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import { addProposal } from "@daisylock/core/log/add-proposal.js";
import { computeLeaseStart } from "@daisylock/core/log/compute-lease-start.js";
import { confirmPersisted } from "@daisylock/core/log/confirm-persisted.js";
import { createRaftState } from "@daisylock/core/log/create-raft-state.js";
import { cutLog } from "@daisylock/core/log/cut-log.js";
import { EntryKind } from "@daisylock/core/log/entry-kind.js";
import { isLeaseValid } from "@daisylock/core/log/is-lease-valid.js";
import type { LogEntry } from "@daisylock/core/log/log-entry.js";
import type { MemberChangeFault } from "@daisylock/core/log/member-change-fault.js";
import type { Members } from "@daisylock/core/log/members.js";
import { RaftMessageKind } from "@daisylock/core/log/raft-message-kind.js";
import type { RaftMessage } from "@daisylock/core/log/raft-message.js";
import { RaftRole } from "@daisylock/core/log/raft-role.js";
import type { RaftState } from "@daisylock/core/log/raft-state.js";
import type { RaftTiming } from "@daisylock/core/log/raft-timing.js";
import { receiveRaftMessage } from "@daisylock/core/log/receive-raft-message.js";
import { releaseLeadership } from "@daisylock/core/log/release-leadership.js";
import { setMembers } from "@daisylock/core/log/set-members.js";
import { startBootstrap } from "@daisylock/core/log/start-bootstrap.js";
import { takeCommitted } from "@daisylock/core/log/take-committed.js";
import { tickRaft } from "@daisylock/core/log/tick-raft.js";
import Result from "true-myth/result";

import type { Clock } from "../../clock/clock.js";
import { SuspensionWatch } from "../../clock/suspension-watch.js";
import { Mailbox } from "../../concurrency/mailbox.js";
import { waitFor } from "../../concurrency/wait-for.js";
import type { EventLog } from "../../events/event-log.js";
import { MetricName } from "../../metrics/metric-name.js";
import type { Metrics } from "../../metrics/metrics.js";
import { Worker } from "../../supervision/worker.js";
import { buildKeeperView } from "./build-keeper-view.js";
import { collectByReceiver } from "./collect-by-receiver.js";
import { KeeperEventKind } from "./keeper-event-kind.js";
import type { KeeperEvent } from "./keeper-event.js";
import type { KeeperView } from "./keeper-view.js";
import { ProposalBook } from "./proposal-book.js";
import { ProposeFailureKind } from "./propose-failure-kind.js";
import type { ProposeFailure } from "./propose-failure.js";
import type { KeeperDisk } from "./storage/keeper-disk.js";

/** Events that may wait while a batch is written. Above it, proposals are refused and messages dropped. */
const mailboxCapacity = 900;
/** Events handled before one write to disk. */
const maxBatch = 512;
/** Well below the shortest heartbeat, so that elections and heartbeats are on time. */
const tickMs = 25;
/** Longest time for a successor to catch up before a leader stops without one, milliseconds. */
const releaseMs = 300;
/** Applied entries kept for keepers that are a little behind. */
const keptEntries = 256;

/** A leadership that is being given up. */
interface LeadershipRelease {
    readonly resolve: (successor: string | undefined) => void;
    /** Monotonic milliseconds. */
    readonly until: number;
}

/** What a keeper needs of its surroundings. */
interface KeeperSurroundings {
    readonly disk: KeeperDisk;
    readonly clock: Clock;
    readonly random: () => number;
    readonly timing: RaftTiming;
    readonly events: EventLog;
    readonly metrics: Pick<Metrics, "recordTime" | "addCount" | "setLevel">;
    /** Entries after which a snapshot is taken. */
    readonly snapshotEntries: number;
    /** Sends messages to other keepers, by address; loss is allowed. */
    readonly send: (address: string, messages: readonly RaftMessage[]) => void;
    /** Called after each batch that changed the replicated state. */
    readonly handleApplied?: () => void;
}

/** Runs the replicated log of one keeper: takes events in batches, writes, sends, then applies. */
export class Keeper extends Worker {
    override readonly name = "keeper";
    private readonly mailbox = new Mailbox<KeeperEvent>(mailboxCapacity);
    private readonly proposals = new ProposalBook();
    private raft: RaftState | undefined;
    private control: ControlState = createControlState();
    /** Addresses of keepers that have spoken; a new member knows no others. */
    private readonly senders = new Map<string, string>();
    private seenRole = RaftRole.Follower;
    /** Set while this keeper gives up its leadership: it accepts nothing more, so that a successor can catch up. */
    private release: LeadershipRelease | undefined;
    private stopTick: () => void = () => undefined;
    private isTickWaiting = false;
    private readonly suspension: SuspensionWatch;

    /**
     * @param surroundings - disk, clock and the way to other keepers
     */
    constructor(private readonly surroundings: KeeperSurroundings) {
        super();
        this.suspension = new SuspensionWatch(surroundings.clock);
    }

    override *run(): Generator<unknown, void, unknown> {
        const { disk } = this.surroundings;
        this.raft = yield* this.loadRaft();
        this.startTick();
        try {
            for (;;) {
                const event = yield* this.mailbox.take();
                if (event === undefined) {
                    break;
                }
                this.handleBatch(this.raft, event);
                this.updateRelease(this.raft);
                this.sendEarly(this.raft);
                yield* this.saveUnsaved(this.raft);
                this.sendMessages(this.raft);
                this.applyCommitted(this.raft);
                this.noteRole(this.raft);
            }
        }
        finally {
            this.stopTick();
            this.raft = undefined;
            this.release?.resolve(undefined);
            this.proposals.settleAll();
            disk.close().catch(() => undefined);
        }
    }

    override stop(): void {
        this.mailbox.close();
    }

    /**
     * Proposes a command.
     * @param command - the command
     * @returns its result once committed and applied here
     */
    sendCommand<Command extends ControlCommand>(
        command: Command,
    ): Promise<Result<CommandResults[Command["kind"]], ProposeFailure>> {
        return new Promise(resolve => {
            const accepted = this.mailbox.put({
                kind: KeeperEventKind.Command,
                command,
                resolve: resolve as Extract<KeeperEvent, { kind: KeeperEventKind.Command }>["resolve"],
            });
            if (!accepted) {
                resolve(Result.err({ kind: ProposeFailureKind.Busy }));
            }
        });
    }

    /**
     * Proposes new members.
     * @param members - the members
     * @returns index of the entry, or why not
     */
    sendMembers(members: Members): Promise<Result<number, MemberChangeFault>> {
        return new Promise(resolve => this.mailbox.put({ kind: KeeperEventKind.Members, members, resolve }));
    }

    /**
     * Makes this keeper the first member of a new cluster.
     * @param address - its own peer address
     * @returns false when it already has members
     */
    startCluster(address: string): Promise<boolean> {
        return new Promise(resolve => this.mailbox.put({ kind: KeeperEventKind.Bootstrap, address, resolve }));
    }

    /**
     * Hands leadership over, if this keeper leads and another one is ready.
     * @returns the successor's id, or `undefined`
     */
    releaseLeadership(): Promise<string | undefined> {
        return new Promise(resolve => {
            if (!this.mailbox.put({ kind: KeeperEventKind.HandOver, resolve })) {
                resolve(undefined);
            }
        });
    }

    /**
     * Receives messages from another keeper; drops them when too many wait.
     * @param messages - the messages
     * @param fromAddress - peer address of the sender
     */
    receive(messages: readonly RaftMessage[], fromAddress: string): void {
        this.mailbox.put({ kind: KeeperEventKind.Messages, messages, fromAddress });
    }

    /**
     * Tells whether this keeper may answer for the whole system now.
     * @returns true while it leads and its lease is valid
     */
    isDeciding(): boolean {
        const suspendedUntil = this.suspension.readLastResume();
        const now = this.surroundings.clock.readMonotonic();
        return this.raft !== undefined && isLeaseValid(this.raft, now)
            && computeLeaseStart(this.raft, now) > suspendedUntil;
    }

    /**
     * Reads the replicated state as applied here.
     * @returns the state, not to be changed
     */
    readControl(): ControlState {
        return this.control;
    }

    /**
     * Reads the keeper's position in the cluster.
     * @returns the view, or `undefined` before the disk is loaded
     */
    readView(): KeeperView | undefined {
        return this.raft === undefined
            ? undefined
            : buildKeeperView(this.raft, this.surroundings.clock.readMonotonic());
    }

    private *loadRaft(): Generator<unknown, RaftState, unknown> {
        const { disk, timing, random, clock } = this.surroundings;
        const content = yield* waitFor(disk.load());
        if (content.snapshot.data !== "") {
            this.control = decodeControlState(content.snapshot.data);
        }
        return createRaftState({ ...content, timing, random, now: clock.readMonotonic() });
    }

    private startTick(): void {
        this.stopTick = this.surroundings.clock.schedule(tickMs, () => {
            if (!this.isTickWaiting) {
                this.isTickWaiting = this.mailbox.put({ kind: KeeperEventKind.Tick });
            }
            this.startTick();
        });
    }

    private handleBatch(raft: RaftState, first: KeeperEvent): void {
        let event: KeeperEvent | undefined = first;
        for (let handled = 0; event !== undefined && handled < maxBatch; handled++) {
            this.handleEvent(raft, event, this.surroundings.clock.readMonotonic());
            event = handled + 1 < maxBatch ? this.mailbox.takeNow() : undefined;
        }
    }

    private handleEvent(raft: RaftState, event: KeeperEvent, now: number): void {
        switch (event.kind) {
            case KeeperEventKind.Tick:
                this.isTickWaiting = false;
                tickRaft(raft, now);
                break;
            case KeeperEventKind.Messages:
                for (const message of event.messages) {
                    this.senders.set(message.from, event.fromAddress);
                    receiveRaftMessage(raft, message, now);
                }
                break;
            case KeeperEventKind.Command:
                this.handleCommand(raft, event, now);
                break;
            case KeeperEventKind.Members: {
                const index = setMembers(raft, event.members, now);
                event.resolve(typeof index === "number" ? Result.ok(index) : Result.err(index));
                break;
            }
            case KeeperEventKind.HandOver:
                this.release = { resolve: event.resolve, until: now + releaseMs };
                break;
            case KeeperEventKind.Bootstrap:
                event.resolve(startBootstrap(raft, event.address, now));
                break;
        }
    }

    /** Tries again with each batch until a voter has the whole log. */
    private updateRelease(raft: RaftState): void {
        if (this.release === undefined) {
            return;
        }
        const { resolve, until } = this.release;
        const now = this.surroundings.clock.readMonotonic();
        const successor = releaseLeadership(raft, now);
        if (successor !== undefined || raft.role !== RaftRole.Leader || now >= until) {
            this.release = undefined;
            resolve(successor);
        }
    }

    private handleCommand(
        raft: RaftState,
        event: Extract<KeeperEvent, { kind: KeeperEventKind.Command }>,
        now: number,
    ): void {
        const index = this.release === undefined
            ? addProposal(raft, EntryKind.Command, JSON.stringify(event.command), now)
            : undefined;
        if (index === undefined) {
            const leaderAddress = this.readView()?.leaderAddress;
            event.resolve(Result.err({ kind: ProposeFailureKind.NotLeader, leaderAddress }));
            return;
        }
        this.proposals.add(index, raft.hard.term, event.resolve);
    }

    private *saveUnsaved(raft: RaftState): Generator<unknown, void, unknown> {
        const { disk, clock, metrics } = this.surroundings;
        const startedAt = clock.readMonotonic();
        if (raft.isSnapshotUnsaved) {
            yield* waitFor(disk.saveSnapshot(raft.snapshot, raft.base, {
                hard: raft.hard,
                truncateFrom: undefined,
                entries: raft.entries,
            }));
            this.surroundings.events.record(EventKind.SnapshotSaved, { detail: `index ${raft.snapshot.index}` });
        }
        else if (raft.isHardStateUnsaved || raft.unsavedFrom !== undefined) {
            yield* waitFor(disk.append({
                hard: raft.isHardStateUnsaved ? raft.hard : undefined,
                truncateFrom: raft.unsavedFrom,
                entries: raft.unsavedFrom === undefined
                    ? []
                    : raft.entries.slice(raft.unsavedFrom - raft.base.index - 1),
            }));
            metrics.recordTime(MetricName.LogSync, clock.readMonotonic() - startedAt);
        }
        else {
            return;
        }
        confirmPersisted(raft);
    }

    /**
     * Sends what a leader appends before its own disk has it, so that the disks of all keepers write at the same time.
     * The leader counts itself for a quorum only once its own write is done (Ongaro's thesis, 10.2.1).
     */
    private sendEarly(raft: RaftState): void {
        if (raft.role !== RaftRole.Leader || raft.isHardStateUnsaved) {
            return;
        }
        const isAppend = (message: RaftMessage): boolean => message.kind === RaftMessageKind.Append;
        const waiting = raft.outbox.filter(message => !isAppend(message));
        raft.outbox = raft.outbox.filter(isAppend);
        this.sendMessages(raft);
        raft.outbox = waiting;
    }

    private sendMessages(raft: RaftState): void {
        const addresses: Record<string, string> = { ...raft.members.learners, ...raft.members.voters };
        const byReceiver = collectByReceiver(raft.outbox);
        raft.outbox = [];
        for (const [receiver, messages] of byReceiver) {
            const address = addresses[receiver] ?? this.senders.get(receiver);
            if (address !== undefined) {
                this.surroundings.send(address, messages);
            }
        }
    }

    private applyCommitted(raft: RaftState): void {
        if (raft.snapshot.index > raft.appliedIndex) {
            this.control = decodeControlState(raft.snapshot.data);
            raft.appliedIndex = raft.snapshot.index;
        }
        const term = raft.hard.term;
        const committed = takeCommitted(raft);
        for (const entry of committed) {
            this.applyEntry(entry, term);
        }
        if (committed.length > 0) {
            this.surroundings.handleApplied?.();
        }
        if (raft.appliedIndex - raft.snapshot.index >= this.surroundings.snapshotEntries) {
            cutLog(raft, encodeControlState(this.control), keptEntries);
        }
    }

    private applyEntry(entry: LogEntry, term: number): void {
        if (entry.kind === EntryKind.Members) {
            this.surroundings.events.record(EventKind.MembersChanged, { detail: entry.payload });
        }
        if (entry.kind !== EntryKind.Command) {
            this.proposals.settle(entry, term, undefined);
            return;
        }
        const command = JSON.parse(entry.payload) as ControlCommand;
        const result = applyCommand(this.control, command);
        this.surroundings.metrics.addCount(MetricName.LogCommits);
        this.proposals.settle(entry, term, result);
    }

    private noteRole(raft: RaftState): void {
        if (raft.role === this.seenRole) {
            return;
        }
        const { events, metrics } = this.surroundings;
        if (raft.role === RaftRole.Leader) {
            events.record(EventKind.LeaderElected, { detail: `term ${raft.hard.term}` });
        }
        else if (this.seenRole === RaftRole.Leader) {
            events.record(EventKind.LeaderLost, { detail: `term ${raft.hard.term}` });
            this.proposals.settleAll();
        }
        this.seenRole = raft.role;
        metrics.setLevel(MetricName.LogTerm, raft.hard.term);
    }
}
