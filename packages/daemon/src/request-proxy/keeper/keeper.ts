import { applyCommand } from "@daisylock/core/control/apply-command.js";
import type { CommandResults } from "@daisylock/core/control/command-results.js";
import type { ControlCommand } from "@daisylock/core/control/control-command.js";
import type { ControlState } from "@daisylock/core/control/control-state.js";
import { createControlState } from "@daisylock/core/control/create-control-state.js";
import { decodeControlState } from "@daisylock/core/control/decode-control-state.js";
import { encodeControlState } from "@daisylock/core/control/encode-control-state.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import { addProposal } from "@daisylock/core/raft/add-proposal.js";
import { computeLeaseStart } from "@daisylock/core/raft/compute-lease-start.js";
import { createRaftState } from "@daisylock/core/raft/create-raft-state.js";
import { createSnapshot } from "@daisylock/core/raft/create-snapshot.js";
import { isLeaseValid } from "@daisylock/core/raft/is-lease-valid.js";
import { LogEntryKind } from "@daisylock/core/raft/log-entry-kind.js";
import type { LogEntry } from "@daisylock/core/raft/log-entry.js";
import { LogWriter } from "@daisylock/core/raft/log-writer.js";
import type { MemberChangeFault } from "@daisylock/core/raft/member-change-fault.js";
import type { Members } from "@daisylock/core/raft/members.js";
import { noteLeaseReply } from "@daisylock/core/raft/note-lease-reply.js";
import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import { RaftRole } from "@daisylock/core/raft/raft-role.js";
import type { RaftState } from "@daisylock/core/raft/raft-state.js";
import type { RaftTiming } from "@daisylock/core/raft/raft-timing.js";
import { receiveRaftMessage } from "@daisylock/core/raft/receive-raft-message.js";
import { setMembers } from "@daisylock/core/raft/set-members.js";
import { startBootstrap } from "@daisylock/core/raft/start-bootstrap.js";
import { startLeadershipTransfer } from "@daisylock/core/raft/start-leadership-transfer.js";
import { takeCommittedEntries } from "@daisylock/core/raft/take-committed-entries.js";
import { tickRaft } from "@daisylock/core/raft/tick-raft.js";
import Result from "true-myth/result";

import { InvariantViolation } from "@daisylock/core/invariants/invariant-violation.js";
import type { Clock } from "../../clock/clock.js";
import { SuspensionDetector } from "../../clock/suspension-detector.js";
import { Mailbox } from "../../concurrency/mailbox.js";
import { waitFor } from "../../concurrency/wait-for.js";
import type { EventLog } from "../../events/event-log.js";
import { MessageDropReason } from "../../metrics/message-drop-reason.js";
import { MetricName } from "../../metrics/metric-name.js";
import type { Metrics } from "../../metrics/metrics.js";
import { Worker } from "../../supervision/worker.js";
import { ApplyFailure } from "./apply-failure.js";
import { buildKeeperView } from "./build-keeper-view.js";
import { collectByReceiver } from "./collect-by-receiver.js";
import { KeeperEventKind } from "./keeper-event-kind.js";
import type { KeeperEvent } from "./keeper-event.js";
import type { KeeperView } from "./keeper-view.js";
import type { LeaseAges } from "./lease-ages.js";
import { PendingProposals } from "./pending-proposals.js";
import { ProposeFailureKind } from "./propose-failure-kind.js";
import type { ProposeFailure } from "./propose-failure.js";
import type { KeeperStorage } from "./storage/keeper-storage.js";

/** Maximum number of events queued while a batch is written. Beyond it, proposals are refused and messages dropped. */
const mailboxCapacity = 900;
/** Maximum number of events handled before messages are sent. */
const maxBatchEvents = 512;
/**
 * Time without progress of a write from which the keeper waits for it, milliseconds. A leader whose disk hangs then sends
 * no heartbeats, so that a keeper with a working disk takes over. Time for which the event loop is late doesn't count.
 */
const maxWriteStallMs = 150;
/** Shortest time from a leader's write to its next proposals, milliseconds, as each write costs a message to each keeper. */
const proposalGapMs = 12;
/** Much shorter than the shortest heartbeat interval, so that elections and heartbeats start on time. */
const tickMs = 25;
/** Time for a successor to catch up; after it, the leader stops without a leadership transfer. */
const transferTimeoutMs = 300;
/** Applied entries kept in the log after a snapshot, so that keepers slightly behind need no snapshot. */
const retainedLogEntries = 256;
/** Largest total payload of these entries, characters. */
const retainedLogCharacters = 4 * 1024 * 1024;
/** Payload of the entries applied since the last snapshot after which the next one is taken, characters. */
const snapshotCharacters = 8 * 1024 * 1024;

type CommandEvent = Extract<KeeperEvent, { kind: KeeperEventKind.Command }>;

/** A leadership transfer in progress. */
interface LeadershipTransfer {
    readonly resolve: (successor: string | undefined) => void;
    /** Monotonic milliseconds. */
    readonly deadline: number;
}

/** What a keeper has loaded at its start. */
interface LoadedLog {
    /** Log entries after the snapshot. */
    readonly entries: number;
    /** Position of the last entry in the snapshot; 0 without one. */
    readonly snapshotIndex: number;
    /** Size of the snapshot. */
    readonly snapshotBytes: number;
    /** Duration of reading and decoding, milliseconds. */
    readonly tookMs: number;
}

/** Dependencies of a keeper. */
interface KeeperDependencies {
    readonly storage: KeeperStorage;
    readonly clock: Clock;
    readonly random: () => number;
    readonly timing: RaftTiming;
    readonly events: EventLog;
    readonly metrics: Pick<Metrics, "recordTime" | "addCount" | "setGauge">;
    /** Number of entries applied since the last snapshot after which the next one is taken. */
    readonly snapshotEntries: number;
    /** Sends messages to another keeper by its peer address; messages may be lost. */
    readonly send: (address: string, messages: readonly RaftMessage[]) => void;
    /** Called after each batch that changed the replicated state. */
    readonly handleApplied?: () => void;
    /** Called after each write of log entries to disk with its duration, milliseconds. */
    readonly handleWritten?: (durationMs: number) => void;
    /** Called with the delay of each tick, milliseconds: the event loop was busy with something else for as long. */
    readonly handleTick?: (delayMs: number) => void;
    /** Called once the stored log is loaded. */
    readonly handleLoaded?: (loaded: LoadedLog) => void;
    /** Runs work of the main thread and records its time. */
    readonly measure?: <Value>(work: string, run: () => Value) => Value;
}

/** A write to disk that has begun. */
interface WriteUnderWay {
    /** Rejected when the write has failed. */
    done: Promise<void>;
    /** When the disk last finished a step of it, in milliseconds of the time for which the event loop was not late. */
    progressAt: number;
    isDone: boolean;
    hasFailed: boolean;
}

/**
 * Runs the replicated log of one keeper: handles events in batches, sends messages and applies what is committed, while
 * one write to disk at a time is under way.
 */
export class Keeper extends Worker {
    override readonly name = "keeper";
    private readonly mailbox = new Mailbox<KeeperEvent>(mailboxCapacity);
    private readonly proposals = new PendingProposals();
    private raft: RaftState | undefined;
    private write: WriteUnderWay | undefined;
    /** Commands that arrived during a write or right after its begin. They share the next one. */
    private waitingCommands: CommandEvent[] = [];
    /** Monotonic milliseconds. */
    private nextProposalAt = 0;
    private stopProposalTimer: (() => void) | undefined;
    private control: ControlState = createControlState();
    /** Peer addresses of keepers that have sent messages; a new member has no other addresses yet. */
    private readonly senderAddresses = new Map<string, string>();
    /** Voters as last counted: each request asks for their number. */
    private counted: { voters: Members["voters"] | undefined; count: number } = { voters: undefined, count: 0 };
    private lastRole = RaftRole.Follower;
    /** Set during a leadership transfer: commands are then refused, so that a successor can catch up. */
    private transfer: LeadershipTransfer | undefined;
    private stopTick: () => void = () => undefined;
    private isTickWaiting = false;
    /** When the next tick is due, monotonic milliseconds. */
    private tickDueAt = 0;
    /** Sum of the delays of all ticks, milliseconds. */
    private lateMs = 0;
    /** Payload of the entries applied since the last snapshot, characters. */
    private appliedCharacters = 0;
    /** Whether the leader lease was valid at the last tick. */
    private wasLeaseValid = false;
    private readonly suspensionDetector: SuspensionDetector;

    /**
     * @param dependencies - storage, clocks and transport to other keepers
     */
    constructor(private readonly dependencies: KeeperDependencies) {
        super();
        this.suspensionDetector = new SuspensionDetector(dependencies.clock);
    }

    override *run(): Generator<unknown, void, unknown> {
        const { storage } = this.dependencies;
        const raft = yield* this.loadRaft();
        const writer = new LogWriter(raft);
        this.raft = raft;
        this.startTick();
        try {
            for (;;) {
                const event = yield* this.mailbox.take();
                if (event === undefined) {
                    break;
                }
                this.handleBatch(raft, event);
                this.updateTransfer(raft);
                yield* this.runWrites(raft, writer);
            }
            while (this.write !== undefined) {
                yield* waitFor(this.write.done);
                yield* this.runWrites(raft, writer);
            }
        }
        finally {
            this.stopTick();
            this.stopProposalTimer?.();
            this.raft = undefined;
            this.transfer?.resolve(undefined);
            this.proposals.settleAll();
            this.waitingCommands.splice(0).forEach(({ resolve }) =>
                resolve(Result.err({ kind: ProposeFailureKind.NotLeader }))
            );
            // Every write was synced, so that a failure to close loses nothing.
            storage.close().catch(() => undefined);
        }
    }

    override stop(): void {
        this.mailbox.close();
    }

    /**
     * Proposes a command.
     * @param command - the command, or what builds it when it becomes an entry of the log, which may be some milliseconds
     *     later
     * @returns its result once it is committed and applied by this keeper, or why that is not confirmed
     */
    sendCommand<Command extends ControlCommand>(
        command: Command | (() => Command),
    ): Promise<Result<CommandResults[Command["kind"]], ProposeFailure>> {
        return new Promise(resolve => {
            const settle = (result: Result<CommandResults[Command["kind"]], ProposeFailure>): void => {
                if (result.isErr) {
                    this.dependencies.metrics.addCount(MetricName.CommandsRefused, { reason: result.error.kind });
                }
                resolve(result);
            };
            const accepted = this.mailbox.put({
                kind: KeeperEventKind.Command,
                command,
                resolve: settle as Extract<KeeperEvent, { kind: KeeperEventKind.Command }>["resolve"],
            });
            if (!accepted) {
                settle(Result.err({ kind: ProposeFailureKind.Busy }));
            }
        });
    }

    /**
     * Proposes a change of the cluster's members.
     * @param members - the new members
     * @returns index of the log entry, or why the change was refused
     */
    sendMemberChange(members: Members): Promise<Result<number, MemberChangeFault | ProposeFailureKind.Busy>> {
        return new Promise(resolve => {
            if (!this.mailbox.put({ kind: KeeperEventKind.ChangeMembers, members, resolve })) {
                resolve(Result.err(ProposeFailureKind.Busy));
            }
        });
    }

    /**
     * Makes this keeper the first member of a new cluster.
     * @param address - peer address of this keeper
     * @returns false when the keeper already has members, or why that was not tried
     */
    startCluster(address: string): Promise<Result<boolean, ProposeFailureKind.Busy>> {
        return new Promise(resolve => {
            const handleStart = (isStarted: boolean) => resolve(Result.ok(isStarted));
            if (!this.mailbox.put({ kind: KeeperEventKind.Bootstrap, address, resolve: handleStart })) {
                resolve(Result.err(ProposeFailureKind.Busy));
            }
        });
    }

    /**
     * Transfers the leadership, if this keeper leads and a voter has caught up in time.
     * @returns id of the successor, or `undefined` when there is none
     */
    startLeadershipTransfer(): Promise<string | undefined> {
        return new Promise(resolve => {
            if (!this.mailbox.put({ kind: KeeperEventKind.TransferLeadership, resolve })) {
                resolve(undefined);
            }
        });
    }

    /**
     * Receives messages from another keeper; drops them when the mailbox is full. The lease that they extend counts at once,
     * as a busy process handles them only after all events of the network.
     * @param messages - the messages
     * @param fromAddress - peer address of the sender
     */
    receive(messages: readonly RaftMessage[], fromAddress: string): void {
        const { raft } = this;
        if (raft !== undefined) {
            messages.forEach(message => noteLeaseReply(raft, message));
        }
        if (!this.mailbox.put({ kind: KeeperEventKind.Messages, messages, fromAddress })) {
            const reason = MessageDropReason.Mailbox;
            this.dependencies.metrics.addCount(MetricName.MessagesDropped, { reason }, messages.length);
        }
    }

    /**
     * Tells whether this keeper is the active leader, which alone may decide for the cluster.
     * @returns true while it leads with a valid lease that began after the last suspension of the machine
     */
    isActiveLeader(): boolean {
        const lastResumedAt = this.suspensionDetector.readLastResume();
        const now = this.dependencies.clock.readMonotonic();
        return this.raft !== undefined && isLeaseValid(this.raft, now, lastResumedAt);
    }

    /**
     * Reads the ages of what the leader lease rests on, which tell why it is not valid.
     * @returns the ages; those of a keeper that does not lead say nothing
     */
    readLeaseAges(): LeaseAges {
        const now = this.dependencies.clock.readMonotonic();
        const lastResumedAt = this.suspensionDetector.readLastResume();
        const leaseStart = this.raft === undefined ? -1 : computeLeaseStart(this.raft, now);
        return {
            quorumMs: leaseStart < 0 ? undefined : now - leaseStart,
            resumeMs: lastResumedAt < 0 ? undefined : now - lastResumedAt,
        };
    }

    /**
     * Reads the replicated state as applied by this keeper.
     * @returns the state; callers must not modify it
     */
    readControl(): ControlState {
        return this.control;
    }

    /**
     * Reads the term of the replicated log.
     * @returns the term; 0 before the storage is loaded and after the keeper has stopped
     */
    readTerm(): number {
        return this.raft?.hard.term ?? 0;
    }

    /**
     * Counts the voting keepers.
     * @returns number of voters, as far as this keeper knows
     */
    countVoters(): number {
        const voters = this.raft?.members.voters;
        if (voters !== this.counted.voters) {
            this.counted = { voters, count: Object.keys(voters ?? {}).length };
        }
        return this.counted.count;
    }

    /**
     * Reads the keeper's role, members and log progress.
     * @returns the view, or `undefined` before the storage is loaded and after the keeper has stopped
     */
    readView(): KeeperView | undefined {
        return this.raft === undefined
            ? undefined
            : buildKeeperView(this.raft, this.dependencies.clock.readMonotonic());
    }

    private *loadRaft(): Generator<unknown, RaftState, unknown> {
        const { storage, timing, random, clock, handleLoaded } = this.dependencies;
        const startedAt = clock.readMonotonic();
        const storedState = yield* waitFor(storage.load());
        const { snapshot, entries } = storedState;
        if (snapshot.data.length > 0) {
            this.control = decodeControlState(snapshot.data);
        }
        handleLoaded?.({
            entries: entries.length,
            snapshotIndex: snapshot.index,
            snapshotBytes: snapshot.data.byteLength,
            tookMs: Math.round(clock.readMonotonic() - startedAt),
        });
        return createRaftState({ ...storedState, timing, random, now: clock.readMonotonic() });
    }

    private startTick(): void {
        const { clock, metrics, handleTick } = this.dependencies;
        this.tickDueAt = clock.readMonotonic() + tickMs;
        this.stopTick = clock.schedule(tickMs, () => {
            const now = clock.readMonotonic();
            const delayMs = Math.max(0, now - this.tickDueAt);
            this.lateMs += delayMs;
            metrics.recordTime(MetricName.TickDelay, delayMs);
            handleTick?.(delayMs);
            this.reportLeaseLapse(now);
            if (!this.isTickWaiting) {
                this.isTickWaiting = this.mailbox.put({ kind: KeeperEventKind.Tick });
            }
            this.startTick();
        });
    }

    /** Reads a clock that stands still while the event loop is late, milliseconds. */
    private readPunctualTime(): number {
        const now = this.dependencies.clock.readMonotonic();
        return now - this.lateMs - Math.max(0, now - this.tickDueAt);
    }

    /** Counts when the lease of a leader expires within its term, for example because the event loop was blocked. */
    private reportLeaseLapse(now: number): void {
        const isValid = this.raft !== undefined && isLeaseValid(this.raft, now);
        if (this.wasLeaseValid && !isValid && this.raft?.role === RaftRole.Leader) {
            this.dependencies.metrics.addCount(MetricName.LeaseLapses);
        }
        this.wasLeaseValid = isValid;
    }

    /**
     * Handles the events that have arrived. A tick comes last: in a busy process messages wait behind it, and without them
     * a leader would step down, or a follower start an election, although the other keepers respond.
     */
    private handleBatch(raft: RaftState, first: KeeperEvent): void {
        let event: KeeperEvent | undefined = first;
        let hasTick = false;
        for (let handled = 0; event !== undefined && handled < maxBatchEvents; handled++) {
            if (event.kind === KeeperEventKind.Tick) {
                hasTick = true;
            }
            else {
                this.handleEvent(raft, event, this.dependencies.clock.readMonotonic());
            }
            event = handled + 1 < maxBatchEvents ? this.mailbox.takeIfAvailable() : undefined;
        }
        if (hasTick) {
            this.isTickWaiting = false;
            tickRaft(raft, this.dependencies.clock.readMonotonic());
        }
    }

    private handleEvent(raft: RaftState, event: KeeperEvent, now: number): void {
        switch (event.kind) {
            case KeeperEventKind.Messages:
                event.messages.forEach(message => this.receiveMessage(raft, message, event.fromAddress, now));
                break;
            case KeeperEventKind.Command:
                this.receiveCommand(raft, event, now);
                break;
            case KeeperEventKind.ChangeMembers: {
                const index = setMembers(raft, event.members, now);
                event.resolve(typeof index === "number" ? Result.ok(index) : Result.err(index));
                break;
            }
            case KeeperEventKind.TransferLeadership:
                this.transfer = { resolve: event.resolve, deadline: now + transferTimeoutMs };
                break;
            case KeeperEventKind.Bootstrap:
                event.resolve(startBootstrap(raft, event.address, now));
                break;
            // A tick is handled at the end of the batch; the others only wake the worker.
            case KeeperEventKind.Tick:
            case KeeperEventKind.Written:
            case KeeperEventKind.ProposalsDue:
                break;
        }
    }

    private receiveMessage(raft: RaftState, message: RaftMessage, fromAddress: string, now: number): void {
        this.senderAddresses.set(message.from, fromAddress);
        const damagedBefore = raft.damagedSnapshotCount;
        receiveRaftMessage(raft, message, now);
        if (raft.damagedSnapshotCount > damagedBefore) {
            this.dependencies.events.record(EventKind.SnapshotDamaged, { detail: `sent by ${message.from}` });
        }
    }

    /** Tries the leadership transfer after each batch until a voter has the whole log or the deadline has passed. */
    private updateTransfer(raft: RaftState): void {
        if (this.transfer === undefined) {
            return;
        }
        const { resolve, deadline } = this.transfer;
        const now = this.dependencies.clock.readMonotonic();
        const successor = startLeadershipTransfer(raft, now);
        if (successor !== undefined || raft.role !== RaftRole.Leader || now >= deadline) {
            this.transfer = undefined;
            resolve(successor);
        }
    }

    private receiveCommand(raft: RaftState, event: CommandEvent, now: number): void {
        if (raft.role !== RaftRole.Leader || this.write === undefined && now >= this.nextProposalAt) {
            this.handleCommand(raft, event, now);
        }
        else if (this.waitingCommands.length < mailboxCapacity) {
            this.waitingCommands.push(event);
        }
        else {
            event.resolve(Result.err({ kind: ProposeFailureKind.Busy }));
        }
    }

    private handleCommand(raft: RaftState, event: CommandEvent, now: number): void {
        const index = this.transfer === undefined && raft.role === RaftRole.Leader
            ? addProposal(raft, LogEntryKind.Command, JSON.stringify(buildCommand(event.command)), now)
            : undefined;
        if (index === undefined) {
            const leaderAddress = this.readView()?.leaderAddress;
            event.resolve(Result.err({ kind: ProposeFailureKind.NotLeader, leaderAddress }));
            return;
        }
        this.proposals.add(index, raft.hard.term, event.resolve);
    }

    /** Ends a write that is done, sends and applies what it or the events have made possible, and begins the next write. */
    private *runWrites(raft: RaftState, writer: LogWriter): Generator<unknown, void, unknown> {
        const { write } = this;
        if (write !== undefined && !write.isDone && this.readPunctualTime() - write.progressAt > maxWriteStallMs) {
            yield* waitFor(write.done);
        }
        if (write?.isDone === true) {
            if (write.hasFailed) {
                yield* waitFor(write.done);
            }
            this.write = undefined;
            this.sendMessages(raft, writer.confirmWrite());
        }
        this.handleWaitingCommands(raft);
        this.sendMessages(raft, writer.takeReadyMessages());
        this.measure("applied log", () => this.applyCommitted(raft));
        this.measure("stored log", () => this.startWrite(writer));
        this.sendMessages(raft, writer.takeReadyMessages());
        this.reportRole(raft);
    }

    private handleWaitingCommands(raft: RaftState): void {
        const { clock } = this.dependencies;
        const now = clock.readMonotonic();
        if (this.write !== undefined || this.waitingCommands.length === 0) {
            return;
        }
        if (raft.role !== RaftRole.Leader || now >= this.nextProposalAt) {
            this.waitingCommands.splice(0).forEach(event => this.handleCommand(raft, event, now));
            return;
        }
        this.stopProposalTimer ??= clock.schedule(this.nextProposalAt - now, () => {
            this.stopProposalTimer = undefined;
            this.mailbox.put({ kind: KeeperEventKind.ProposalsDue });
        });
    }

    private startWrite(writer: LogWriter): void {
        const { storage, clock } = this.dependencies;
        const batch = writer.startWrite();
        if (batch === undefined) {
            return;
        }
        const { hard, snapshot, base, truncateFrom, entries } = batch;
        const startedAt = clock.readMonotonic();
        const write: WriteUnderWay = {
            done: Promise.resolve(),
            progressAt: this.readPunctualTime(),
            isDone: false,
            hasFailed: false,
        };
        const handleProgress = (): void => {
            write.progressAt = this.readPunctualTime();
        };
        const log = { hard, truncateFrom, entries };
        write.done = snapshot === undefined
            ? storage.append(log, handleProgress)
            : storage.saveSnapshot(snapshot, base, log, handleProgress);
        this.write = write;
        this.nextProposalAt = startedAt + proposalGapMs;
        const handleEnd = (hasFailed: boolean): void => {
            write.isDone = true;
            write.hasFailed = hasFailed;
            // A full mailbox wakes the goroutine as well; in a closed one the goroutine waits for the write.
            this.mailbox.put({ kind: KeeperEventKind.Written });
        };
        write.done.then(() => {
            this.reportWrite(clock.readMonotonic() - startedAt, snapshot?.index);
            handleEnd(false);
        }, () => handleEnd(true));
    }

    private reportWrite(durationMs: number, snapshotIndex: number | undefined): void {
        const { metrics, events, handleWritten } = this.dependencies;
        if (snapshotIndex !== undefined) {
            events.record(EventKind.SnapshotSaved, { detail: `index ${snapshotIndex}` });
            return;
        }
        metrics.recordTime(MetricName.LogSync, durationMs);
        handleWritten?.(durationMs);
    }

    private measure<Value>(work: string, run: () => Value): Value {
        const { measure } = this.dependencies;
        return measure === undefined ? run() : measure(work, run);
    }

    private sendMessages(raft: RaftState, sent: readonly RaftMessage[]): void {
        const addresses: Record<string, string> = { ...raft.members.learners, ...raft.members.voters };
        for (const [receiver, messages] of collectByReceiver(sent)) {
            const address = addresses[receiver] ?? this.senderAddresses.get(receiver);
            if (address !== undefined) {
                this.dependencies.send(address, messages);
            }
        }
    }

    private applyCommitted(raft: RaftState): void {
        if (raft.snapshot.index > raft.appliedIndex) {
            // Lets the memory of the earlier state be reused for the new one.
            this.control = createControlState();
            this.control = decodeControlState(raft.snapshot.data);
            raft.appliedIndex = raft.snapshot.index;
            this.appliedCharacters = 0;
        }
        const term = raft.hard.term;
        const committed = takeCommittedEntries(raft);
        for (const entry of committed) {
            this.applyEntry(entry, term);
            this.appliedCharacters += entry.payload.length;
        }
        if (committed.length > 0) {
            this.dependencies.handleApplied?.();
        }
        const isSnapshotDue = raft.appliedIndex - raft.snapshot.index >= this.dependencies.snapshotEntries
            || this.appliedCharacters >= snapshotCharacters;
        if (isSnapshotDue) {
            this.measure("snapshot", () => {
                createSnapshot(raft, encodeControlState(this.control), retainedLogEntries, retainedLogCharacters);
            });
            this.appliedCharacters = 0;
        }
    }

    private applyEntry(entry: LogEntry, term: number): void {
        if (entry.kind === LogEntryKind.Members) {
            this.dependencies.events.record(EventKind.MembersChanged, { detail: entry.payload });
        }
        if (entry.kind !== LogEntryKind.Command) {
            this.proposals.settle(entry, term, undefined);
            return;
        }
        const result = this.applyCommand(entry);
        this.dependencies.metrics.addCount(MetricName.LogCommits);
        this.proposals.settle(entry, term, result);
    }

    /** A keeper that skipped an entry would differ from the others, so a failure ends the process; it names the entry. */
    private applyCommand(entry: LogEntry): ReturnType<typeof applyCommand> {
        try {
            return applyCommand(this.control, JSON.parse(entry.payload) as ControlCommand);
        }
        catch (error) {
            throw error instanceof InvariantViolation ? error : new ApplyFailure(entry, error);
        }
    }

    private reportRole(raft: RaftState): void {
        // A leadership may have begun and ended within the batch, so the previous role does not matter.
        if (raft.role !== RaftRole.Leader) {
            this.proposals.settleAll();
        }
        if (raft.role === this.lastRole) {
            return;
        }
        const { events, metrics } = this.dependencies;
        if (raft.role === RaftRole.Leader) {
            events.record(EventKind.LeaderElected, { detail: `term ${raft.hard.term}` });
        }
        else if (this.lastRole === RaftRole.Leader) {
            events.record(EventKind.LeaderLost, { detail: `term ${raft.hard.term}` });
        }
        this.lastRole = raft.role;
        metrics.setGauge(MetricName.LogTerm, raft.hard.term);
    }
}

function buildCommand(command: CommandEvent["command"]): ControlCommand {
    return typeof command === "function" ? command() : command;
}
