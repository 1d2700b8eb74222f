import { assertInvariant } from "../invariants/assert-invariant.js";
import { Invariant } from "../invariants/invariant.js";
import { addProposal } from "../raft/add-proposal.js";
import { createRaftState } from "../raft/create-raft-state.js";
import { createSnapshot } from "../raft/create-snapshot.js";
import { isLeaseValid } from "../raft/is-lease-valid.js";
import { LogEntryKind } from "../raft/log-entry-kind.js";
import type { LogEntry } from "../raft/log-entry.js";
import { LogWriter } from "../raft/log-writer.js";
import { noteLeaseReply } from "../raft/note-lease-reply.js";
import { RaftMessageKind } from "../raft/raft-message-kind.js";
import type { RaftMessage } from "../raft/raft-message.js";
import { RaftRole } from "../raft/raft-role.js";
import type { RaftState } from "../raft/raft-state.js";
import { receiveRaftMessage } from "../raft/receive-raft-message.js";
import { setMembers } from "../raft/set-members.js";
import { SnapshotContent } from "../raft/snapshot-content.js";
import { startBootstrap } from "../raft/start-bootstrap.js";
import { takeCommittedEntries } from "../raft/take-committed-entries.js";
import { tickRaft } from "../raft/tick-raft.js";

const timing = {
    heartbeatIntervalMs: 50,
    minElectionTimeoutMs: 300,
    maxElectionTimeoutMs: 600,
    leaseMs: 240,
    maxLeaseMs: 400,
};

/** Behaviour of the simulated transport and of the snapshots. */
interface SimulationOptions {
    /** Simulated time between two rounds of timers, milliseconds. */
    readonly stepMs: number;
    /** Shortest delay of a message, milliseconds. */
    readonly minDelayMs: number;
    /** Longest delay of a message, milliseconds. Messages are reordered unless it equals the shortest one. */
    readonly maxDelayMs: number;
    /** Probability that a message arrives twice, percent. */
    readonly duplicatePercent: number;
    /** Applied entries after which a keeper takes a snapshot. */
    readonly snapshotEntries: number;
    /** Longest duration of a write to disk, milliseconds. */
    readonly maxWriteMs: number;
    /** Longest turn of an event loop: messages are handled at its end, and timers run once in it, milliseconds. */
    readonly maxTurnMs: number;
    /** Ids of the keepers of an earlier release, which grant and ask for the usual lease only. */
    readonly earlierKeepers: readonly string[];
}

const defaultOptions: SimulationOptions = {
    stepMs: 10,
    minDelayMs: 1,
    maxDelayMs: 41,
    duplicatePercent: 5,
    snapshotEntries: 40,
    maxWriteMs: 0,
    maxTurnMs: 0,
    earlierKeepers: [],
};

interface Disk {
    hard: RaftState["hard"];
    snapshot: RaftState["snapshot"];
    base: RaftState["base"];
    entries: LogEntry[];
}

interface Node {
    readonly id: string;
    disk: Disk;
    /** `undefined` while the process is down. */
    raft: RaftState | undefined;
    writer: LogWriter | undefined;
    /** The write that is under way, and when it ends. */
    write: { readonly endsAt: number; readonly disk: Disk } | undefined;
    /** Payloads applied, in order; the state machine of the simulation. */
    applied: string[];
    /** While true, the process is stalled: its timers do not run and messages to it are lost. */
    isFrozen: boolean;
    /** Messages that are handled at the end of the turn. */
    readonly inbox: RaftMessage[];
    turnEndsAt: number;
}

/** Simulates keepers over a transport that delays, loses, duplicates and reorders messages, all driven by one seed. */
export class SimulatedCluster {
    readonly nodes: Node[] = [];
    /** Payloads whose commit was acknowledged to the proposer. */
    readonly acknowledged = new Set<string>();
    /** Number of log entries handed to the transport, by receiver; an entry that is sent again counts again. */
    readonly sentEntries = new Map<string, number>();
    /** Number of snapshot chunks handed to the transport, by receiver. */
    readonly sentSnapshotChunks = new Map<string, number>();
    now = 0;
    private readonly options: SimulationOptions;
    private inFlight: { at: number; message: RaftMessage }[] = [];
    private readonly cutLinks = new Set<string>();
    /** Ids of the leaders by term. */
    private readonly leaders = new Map<number, string>();
    /** Payloads in the order of the log, as first applied by any keeper. */
    private readonly history: string[] = [];
    /** Proposals whose log index the proposing keeper has not applied yet, by payload. */
    private readonly proposals = new Map<string, { node: Node; index: number; term: number }>();

    /**
     * @param size - number of keepers
     * @param random - numbers from 0 to below 1
     * @param lossPercent - probability that a message is lost, percent
     * @param options - behaviour that differs from the default
     */
    constructor(
        size: number,
        private readonly random: () => number,
        private readonly lossPercent: number,
        options: Partial<SimulationOptions> = {},
    ) {
        this.options = { ...defaultOptions, ...options };
        for (let number = 0; number < size; number++) {
            this.addNode(`k${number}`);
        }
        const [first] = this.nodes;
        if (first?.raft !== undefined) {
            startBootstrap(first.raft, "k0", this.now);
            this.runNode(first);
        }
    }

    /**
     * Adds a keeper with an empty disk and starts it.
     * @param id - its id
     */
    addNode(id: string): void {
        const members = { voters: {}, learners: {} };
        const snapshot = { index: 0, term: 0, members, data: SnapshotContent.encode(["[]"]) };
        const base = { index: 0, term: 0 };
        const disk: Disk = { hard: { term: 0, votedFor: undefined }, snapshot, base, entries: [] };
        const node: Node = {
            id,
            disk,
            raft: undefined,
            writer: undefined,
            write: undefined,
            applied: [],
            isFrozen: false,
            inbox: [],
            turnEndsAt: 0,
        };
        this.nodes.push(node);
        this.startNode(node);
    }

    /**
     * Starts a keeper from the state on its disk.
     * @param node - the keeper
     */
    startNode(node: Node): void {
        const { disk } = node;
        node.raft = createRaftState({
            id: node.id,
            timing: this.options.earlierKeepers.includes(node.id) ? { ...timing, maxLeaseMs: timing.leaseMs } : timing,
            random: this.random,
            now: this.now,
            ...disk,
            entries: [...disk.entries],
        });
        node.writer = new LogWriter(node.raft);
        node.applied = JSON.parse(disk.snapshot.data.readText()) as string[];
        node.isFrozen = false;
    }

    /**
     * Kills a keeper; state that is not on its disk is lost. A write that is under way may or may not be on it.
     * @param node - the keeper
     */
    stopNode(node: Node): void {
        if (node.write !== undefined && this.random() < 0.5) {
            node.disk = node.write.disk;
        }
        node.write = undefined;
        node.raft = undefined;
        node.inbox.length = 0;
    }

    /**
     * Cuts or restores the link between two keepers, in both directions.
     * @param a - one keeper
     * @param b - the other keeper
     * @param isCut - true to cut, false to restore
     */
    setLinkCut(a: Node, b: Node, isCut: boolean): void {
        for (const link of [`${a.id}>${b.id}`, `${b.id}>${a.id}`]) {
            if (isCut) {
                this.cutLinks.add(link);
            }
            else {
                this.cutLinks.delete(link);
            }
        }
    }

    /** Restores every link, unfreezes every keeper and starts those that are down. */
    restoreAll(): void {
        this.cutLinks.clear();
        for (const node of this.nodes) {
            node.isFrozen = false;
            if (node.raft === undefined) {
                this.startNode(node);
            }
        }
    }

    /**
     * Finds the active leader among the keepers that are not frozen.
     * @returns the leader with a valid lease, or `undefined` when there is none
     */
    findLeader(): Node | undefined {
        return this.nodes.find(node => node.raft !== undefined && !node.isFrozen && isLeaseValid(node.raft, this.now));
    }

    /**
     * Proposes a payload at every keeper that has the leader role and is not frozen.
     * @param payload - the payload, unique
     */
    sendProposal(payload: string): void {
        for (const node of this.nodes) {
            if (node.raft?.role === RaftRole.Leader && !node.isFrozen) {
                const index = addProposal(node.raft, LogEntryKind.Command, JSON.stringify(payload), this.now);
                if (index !== undefined) {
                    this.proposals.set(payload, { node, index, term: node.raft.hard.term });
                }
            }
        }
    }

    /**
     * Proposes a change of the members at the leader.
     * @param change - makes the new members from the current ones
     * @returns whether the leader accepted the change
     */
    sendMemberChange(change: (members: RaftState["members"]) => RaftState["members"]): boolean {
        const raft = this.findLeader()?.raft;
        return raft !== undefined && typeof setMembers(raft, change(raft.members), this.now) === "number";
    }

    /**
     * Advances the simulated time and checks the invariants after each step.
     * @param milliseconds - simulated time to run
     */
    run(milliseconds: number): void {
        for (const end = this.now + milliseconds; this.now < end;) {
            this.now += this.options.stepMs;
            this.receiveDueMessages();
            for (const node of this.nodes) {
                if (node.raft !== undefined && !node.isFrozen && this.now >= node.turnEndsAt) {
                    this.runTurn(node, node.raft);
                }
            }
            this.assertInvariants();
        }
    }

    /**
     * Runs until a condition holds.
     * @param check - the condition
     * @param maxMs - longest simulated time, milliseconds
     * @returns whether the condition holds at the end
     */
    runUntil(check: () => boolean, maxMs: number): boolean {
        for (const end = this.now + maxMs; this.now < end && !check();) {
            this.run(this.options.stepMs);
        }
        return check();
    }

    /** Handles the messages that have arrived in a turn of the event loop, then the timers, and begins the next turn. */
    private runTurn(node: Node, raft: RaftState): void {
        node.inbox.splice(0).forEach(message => receiveRaftMessage(raft, message, this.now));
        tickRaft(raft, this.now);
        this.runNode(node);
        if (this.options.maxTurnMs > 0) {
            node.turnEndsAt = this.now + this.random() * this.options.maxTurnMs;
        }
    }

    private receiveDueMessages(): void {
        const due = this.inFlight.filter(flight => flight.at <= this.now);
        this.inFlight = this.inFlight.filter(flight => flight.at > this.now);
        for (const { message } of due) {
            const node = this.nodes.find(candidate => candidate.id === message.to);
            const isCut = this.cutLinks.has(`${message.from}>${message.to}`);
            if (node?.raft === undefined || node.isFrozen || isCut) {
                continue;
            }
            if (this.options.maxTurnMs > 0) {
                noteLeaseReply(node.raft, message);
                node.inbox.push(message);
            }
            else {
                receiveRaftMessage(node.raft, message, this.now);
                this.runNode(node);
            }
        }
    }

    /**
     * Persists, sends and applies the pending output of a keeper, in the order of the production keeper.
     * @param node - the keeper
     */
    runNode(node: Node): void {
        const { raft, writer } = node;
        if (raft === undefined || writer === undefined) {
            return;
        }
        for (let isWriting = true; isWriting;) {
            if (node.write !== undefined && node.write.endsAt <= this.now) {
                node.disk = node.write.disk;
                node.write = undefined;
                writer.confirmWrite().forEach(message => this.sendMessage(node, message));
            }
            writer.takeReadyMessages().forEach(message => this.sendMessage(node, message));
            this.applyCommitted(node, raft);
            const write = writer.startWrite();
            if (write !== undefined) {
                const endsAt = this.now + this.random() * this.options.maxWriteMs;
                node.write = { endsAt, disk: applyWrite(node.disk, write) };
            }
            writer.takeReadyMessages().forEach(message => this.sendMessage(node, message));
            isWriting = node.write !== undefined && node.write.endsAt <= this.now;
        }
    }

    private applyCommitted(node: Node, raft: RaftState): void {
        if (raft.snapshot.index > raft.appliedIndex) {
            node.applied = JSON.parse(raft.snapshot.data.readText()) as string[];
            raft.appliedIndex = raft.snapshot.index;
        }
        for (const entry of takeCommittedEntries(raft)) {
            node.applied.push(entry.kind === LogEntryKind.Command ? JSON.parse(entry.payload) as string : "");
        }
        this.confirmProposals(node, raft);
        if (raft.appliedIndex - raft.snapshot.index >= this.options.snapshotEntries) {
            createSnapshot(raft, SnapshotContent.encode([JSON.stringify(node.applied)]), 8);
        }
    }

    private sendMessage({ id, disk }: Node, message: RaftMessage): void {
        assertInvariant(
            isPromiseDurable(disk, message),
            Invariant.CommittedEntriesStay,
            () => `${id} sends before its write: ${JSON.stringify(message)}`,
        );
        this.recordTraffic(message);
        if (this.random() * 100 < this.lossPercent) {
            return;
        }
        const { duplicatePercent, minDelayMs, maxDelayMs } = this.options;
        const copies = this.random() * 100 < duplicatePercent ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            const copied = JSON.parse(JSON.stringify(message)) as RaftMessage;
            this.inFlight.push({
                at: this.now + minDelayMs + this.random() * (maxDelayMs - minDelayMs),
                message: copied,
            });
        }
    }

    private recordTraffic(message: RaftMessage): void {
        if (message.kind === RaftMessageKind.Append) {
            this.sentEntries.set(message.to, (this.sentEntries.get(message.to) ?? 0) + message.entries.length);
        }
        else if (message.kind === RaftMessageKind.SnapshotChunk) {
            this.sentSnapshotChunks.set(message.to, (this.sentSnapshotChunks.get(message.to) ?? 0) + 1);
        }
    }

    private confirmProposals(node: Node, raft: RaftState): void {
        for (const [payload, proposal] of this.proposals) {
            if (proposal.node === node && proposal.index <= raft.appliedIndex) {
                this.proposals.delete(payload);
                if (node.applied[proposal.index - 1] === payload) {
                    this.acknowledged.add(payload);
                }
            }
        }
    }

    private assertInvariants(): void {
        let activeLeaders = 0;
        for (const node of this.nodes) {
            if (node.raft === undefined) {
                continue;
            }
            if (node.raft.role === RaftRole.Leader) {
                this.assertOneLeader(node.id, node.raft.hard.term);
            }
            activeLeaders += isLeaseValid(node.raft, this.now) ? 1 : 0;
            this.assertSameHistory(node);
        }
        assertInvariant(
            activeLeaders <= 1,
            Invariant.DecisionsNeedLease,
            () => `${activeLeaders} keepers hold a valid leader lease at ${this.now} ms`,
        );
    }

    private assertOneLeader(id: string, term: number): void {
        const leader = this.leaders.get(term) ?? id;
        this.leaders.set(term, leader);
        assertInvariant(leader === id, Invariant.OneLeaderPerTerm, () => `${leader} and ${id} both lead term ${term}`);
    }

    private assertSameHistory(node: Node): void {
        for (let index = 0; index < node.applied.length; index++) {
            const payload = node.applied[index] ?? "";
            this.history[index] ??= payload;
            assertInvariant(
                this.history[index] === payload,
                Invariant.CommittedEntriesStay,
                () => `${node.id} applied "${payload}" at index ${index + 1}, others "${this.history[index] ?? ""}"`,
            );
        }
    }
}

/** Applies a write to what is on a disk, as the storage of a keeper does. */
function applyWrite(disk: Disk, write: NonNullable<ReturnType<LogWriter["startWrite"]>>): Disk {
    const hard = write.hard ?? disk.hard;
    if (write.snapshot !== undefined) {
        return { hard, snapshot: write.snapshot, base: write.base, entries: [...write.entries] };
    }
    const kept = write.truncateFrom === undefined
        ? disk.entries
        : disk.entries.slice(0, write.truncateFrom - disk.base.index - 1);
    return { ...disk, hard, entries: [...kept, ...write.entries] };
}

/** Tells whether a disk holds what a message promises: an acknowledged entry, or a vote. */
function isPromiseDurable({ hard, snapshot, base, entries }: Disk, message: RaftMessage): boolean {
    switch (message.kind) {
        case RaftMessageKind.AppendReply: {
            const isCovered = message.index <= snapshot.index || message.index <= base.index + entries.length;
            return !message.isAccepted || hard.term >= message.term && isCovered;
        }
        case RaftMessageKind.VoteReply:
            // In a higher term the keeper grants no other vote of this one.
            return !message.isGranted || hard.term > message.term
                || hard.term === message.term && hard.votedFor === message.to;
        case RaftMessageKind.SnapshotReply:
            return !message.isInstalled || message.snapshotIndex <= base.index + entries.length;
        case RaftMessageKind.Vote:
        case RaftMessageKind.Append:
            return hard.term >= message.term;
        default:
            return true;
    }
}
