import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { encodeControlState } from "@daisylock/core/control/encode-control-state.js";
import { SubmitJobOutcome } from "@daisylock/core/control/submit-job-outcome.js";
import { countJobBytes } from "@daisylock/core/fleet/count-job-bytes.js";
import { createRaftState } from "@daisylock/core/raft/create-raft-state.js";
import { defaultRaftTiming } from "@daisylock/core/raft/default-raft-timing.js";
import { handleSnapshotReply } from "@daisylock/core/raft/handle-snapshot-reply.js";
import { RaftMessageKind } from "@daisylock/core/raft/raft-message-kind.js";
import type { RaftMessage } from "@daisylock/core/raft/raft-message.js";
import { sendAppend } from "@daisylock/core/raft/send-append.js";
import { startLeading } from "@daisylock/core/raft/start-leading.js";
import { buildTestFleet } from "@daisylock/core/testing/build-test-fleet.js";
import { buildTestStep } from "@daisylock/core/testing/build-test-step.js";

import { SystemClock } from "../../clock/system-clock.js";
import { runGoroutine } from "../../concurrency/run-goroutine.js";
import { EventLog } from "../../events/event-log.js";
import { Keeper } from "../../request-proxy/keeper/keeper.js";
import { FileKeeperStorage } from "../../request-proxy/keeper/storage/file-keeper-storage.js";

/** Jobs with which a keeper is filled. */
interface JobShape {
    /** Text that the spec repeats, and how often. */
    readonly unit: string;
    readonly unitCount: number;
    readonly steps: number;
    readonly tasks: number;
    readonly times: number;
}

const address = "k0";
const bytesPerMegabyte = 1_048_576;
/** Commands in flight while the keeper is filled. */
const concurrency = 50;
const pollMs = 20;
/** Default of the setting `limits.snapshot_entries`. */
const snapshotEntries = 2_000;

/**
 * A keeper in a process of its own, whose heap the command line bounds. Usage: full-keeper-process ACTION FOLDER LIMIT_MB
 * [SHAPE], where ACTION is `fill` (accepts jobs up to the limit), `load` (starts with what is on its disk) or `install`
 * (the same, and installs another keeper's snapshot of the same size). Prints what it holds as JSON.
 */
async function runKeeperProcess(action: string, folder: string, limitMb: number, shape: JobShape): Promise<void> {
    const storage = new FileKeeperStorage(folder, "keeper");
    if (action === "fill") {
        await saveFirstSnapshot(folder);
    }
    const clock = new SystemClock();
    const replies: RaftMessage[] = [];
    const keeper = new Keeper({
        storage,
        clock,
        random: Math.random,
        timing: defaultRaftTiming,
        events: new EventLog("keeper", "a", clock, 16),
        metrics: { recordTime: () => undefined, addCount: () => undefined, setGauge: () => undefined },
        snapshotEntries,
        send: (_to, messages) => replies.push(...messages),
    });
    let hasFailed = false;
    runGoroutine(() => keeper.run(), error => {
        hasFailed = error !== undefined;
    });
    while (!keeper.isActiveLeader() && !hasFailed) {
        await waitMs(pollMs);
    }
    if (action === "fill") {
        await addJobs(keeper, limitMb * bytesPerMegabyte, shape);
    }
    if (action === "install") {
        await sendSnapshot(keeper, folder, replies);
    }
    const { fleet } = keeper.readControl();
    console.log(JSON.stringify({
        jobs: fleet.jobs.size,
        estimateBytes: countJobBytes(fleet),
        peakBytes: process.resourceUsage().maxRSS * 1_024,
        hasFailed,
    }));
    process.exit(0);
}

/** Gives the disk a configuration and this keeper as the only voter. */
async function saveFirstSnapshot(folder: string): Promise<void> {
    const storage = new FileKeeperStorage(folder, "keeper");
    const { id } = await storage.load();
    const data = encodeControlState(buildTestFleet(4, { cpu: 4_000, memory: 1_000, gpu: 0 }));
    const members = { voters: { [id]: address }, learners: {} };
    const base = { index: 1, term: 1 };
    const batch = { hard: { term: 1, votedFor: undefined }, truncateFrom: undefined, entries: [] };
    await storage.saveSnapshot({ ...base, members, data }, base, batch);
    await storage.close();
}

async function addJobs(keeper: Keeper, limitBytes: number, shape: JobShape): Promise<void> {
    const spec = shape.unit.repeat(shape.unitCount);
    const steps = Array.from({ length: shape.steps }, () => buildTestStep({ count: shape.tasks }));
    const request = { spec, steps, times: shape.times, startAtMs: 0, intervalMs: 1_000 };
    let count = 0;
    const submit = async (): Promise<void> => {
        while (countJobBytes(keeper.readControl().fleet) < limitBytes) {
            count += 1;
            const id = (0x5c0e7a21d94b0000n + BigInt(count)).toString(16);
            const result = await keeper.sendCommand({
                kind: CommandKind.SubmitJob,
                id,
                queue: "q-web",
                account: "team",
                request,
                atMs: Date.now(),
            });
            if (!result.isOk || result.value !== SubmitJobOutcome.Accepted) {
                throw new TypeError(`job ${id} was not accepted`);
            }
        }
    };
    await Promise.all(Array.from({ length: concurrency }, submit));
}

/** Plays a leader of the next term that has the same content as this keeper and no log. */
async function sendSnapshot(keeper: Keeper, folder: string, replies: RaftMessage[]): Promise<void> {
    const storage = new FileKeeperStorage(folder, "keeper");
    const { id, snapshot, entries } = await storage.load();
    await storage.close();
    const index = snapshot.index + entries.length + snapshotEntries;
    const term = keeper.readTerm() + 1;
    const leader = createRaftState({
        id: "leader",
        timing: defaultRaftTiming,
        random: Math.random,
        now: 0,
        hard: { term, votedFor: undefined },
        snapshot: { ...snapshot, index, term, members: { voters: { leader: "leader", [id]: address }, learners: {} } },
        base: { index, term },
        entries: [],
    });
    startLeading(leader, 0);
    const peer = leader.peers.get(id);
    if (peer === undefined) {
        throw new TypeError("the leader does not know the keeper");
    }
    leader.outbox = [];
    peer.nextIndex = 1;
    for (let now = 1; peer.matchIndex < index; now++) {
        sendAppend(leader, id, peer, now);
        const chunks = leader.outbox.splice(0).filter(({ kind }) => kind === RaftMessageKind.SnapshotChunk);
        keeper.receive(chunks, "leader");
        await new Promise(resolve => setImmediate(resolve));
        for (const reply of replies.splice(0)) {
            if (reply.kind === RaftMessageKind.SnapshotReply) {
                handleSnapshotReply(leader, reply, now);
            }
        }
    }
}

function waitMs(delayMs: number): Promise<void> {
    return new Promise(resolve => {
        setTimeout(resolve, delayMs);
    });
}

const [action = "", folder = "", limitMb = "", shape = "{}"] = process.argv.slice(2);
await runKeeperProcess(action, folder, Number(limitMb), JSON.parse(shape) as JobShape);
