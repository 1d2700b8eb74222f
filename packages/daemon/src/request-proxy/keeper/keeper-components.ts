import { defaultRaftTiming } from "@daisylock/core/raft/default-raft-timing.js";
import { encodeRaftMessages } from "@daisylock/protocol/peer/encode-raft-messages.js";

import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { Supervisor } from "../../supervision/supervisor.js";
import type { ProcessContext } from "../process-context.js";
import { Allocator } from "./allocator.js";
import { Keeper } from "./keeper.js";
import { LearnerPromoter } from "./learner-promoter.js";
import { HttpPlatform } from "./reboot-waves/http-platform.js";
import { WaveRunner } from "./reboot-waves/wave-runner.js";
import { FileKeeperStorage } from "./storage/file-keeper-storage.js";

const deliverTimeoutMs = 1_000;

/** The keeper of a process, with the workers that run while it leads and their supervisor. */
export class KeeperComponents {
    readonly keeper: Keeper;
    readonly allocator: Allocator;

    /**
     * @param processContext - settings and services of the process
     * @param folder - path of the data folder
     */
    constructor(private readonly processContext: ProcessContext, folder: string) {
        const { settings, clock, events, metrics, clients, noteFault } = processContext;
        this.keeper = new Keeper({
            storage: new FileKeeperStorage(folder, settings.node.name),
            clock,
            random: Math.random,
            timing: defaultRaftTiming,
            events,
            metrics,
            snapshotEntries: settings.limits.snapshot_entries,
            send: (address, messages) => {
                const batch = encodeRaftMessages(messages, settings.listen.peers);
                const work = { work: WorkKind.PeerCall, subject: address };
                startContained(noteFault, work, () => clients.send(address, "deliver", batch, deliverTimeoutMs));
            },
        });
        this.allocator = new Allocator(this.keeper, clock, events);
    }

    private createWaveRunner(): WaveRunner {
        const { settings, clock, events } = this.processContext;
        const { platform, maintenance } = settings;
        return new WaveRunner({
            keeper: this.keeper,
            allocator: this.allocator,
            platform: platform === undefined ? undefined : new HttpPlatform(platform.address, platform.token),
            clock,
            events,
            timing: { returnTimeoutMs: maintenance.return_ms, probationMs: maintenance.probation_ms },
        });
    }

    /**
     * Builds the supervisor. It never restarts a child: after a disk failure or a broken invariant the process exits, so
     * that its next start loads the state that it has acknowledged from disk.
     * @returns the supervisor
     */
    buildSupervisor(): Supervisor {
        const { clock, events } = this.processContext;
        return new Supervisor(
            "keeper-supervisor",
            [
                { name: "keeper", create: () => this.keeper },
                { name: "allocator", create: () => this.allocator },
                { name: "maintainer", create: () => this.createWaveRunner() },
                { name: "learner-promoter", create: () => new LearnerPromoter(this.keeper, clock) },
            ],
            { maxRestarts: 0, periodMs: 1, delayMs: 0 },
            clock,
            events,
        );
    }
}
