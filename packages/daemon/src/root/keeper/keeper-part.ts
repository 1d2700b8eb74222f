import { defaultTiming } from "@daisylock/core/log/default-timing.js";
import { encodeRaftMessages } from "@daisylock/protocol/peer/encode-raft-messages.js";

import { Supervisor } from "../../supervision/supervisor.js";
import type { ProcessParts } from "../process-parts.js";
import { Allocator } from "./allocator.js";
import { Keeper } from "./keeper.js";
import { LearnerPromoter } from "./learner-promoter.js";
import { HttpPlatform } from "./maintenance/http-platform.js";
import { Maintainer } from "./maintenance/maintainer.js";
import { FileKeeperDisk } from "./storage/file-keeper-disk.js";

const deliverTimeoutMs = 1_000;

/** The keeper of a process with its supervisor. */
export class KeeperPart {
    readonly keeper: Keeper;
    readonly allocator: Allocator;

    /**
     * @param parts - what the process shares
     * @param folder - data folder
     */
    constructor(private readonly parts: ProcessParts, folder: string) {
        const { settings, clock, events, metrics, clients } = parts;
        this.keeper = new Keeper({
            disk: new FileKeeperDisk(folder, settings.node.name),
            clock,
            random: Math.random,
            timing: defaultTiming,
            events,
            metrics,
            snapshotEntries: settings.limits.snapshot_entries,
            send: (address, messages) => {
                const batch = encodeRaftMessages(messages, settings.listen.peers);
                void clients.send(address, "deliver", batch, deliverTimeoutMs);
            },
        });
        this.allocator = new Allocator(this.keeper, clock, events);
    }

    private createMaintainer(): Maintainer {
        const { settings, clock, events } = this.parts;
        const { platform, maintenance } = settings;
        return new Maintainer({
            keeper: this.keeper,
            allocator: this.allocator,
            platform: platform === undefined ? undefined : new HttpPlatform(platform.address, platform.token),
            clock,
            events,
            timing: { returnMs: maintenance.return_ms, probationMs: maintenance.probation_ms },
        });
    }

    /**
     * Builds the supervisor. It restarts nothing: after a failed disk or a broken invariant the process ends, and what it
     * claimed is loaded from disk again.
     * @returns the supervisor
     */
    buildSupervisor(): Supervisor {
        const { clock, events } = this.parts;
        return new Supervisor(
            "keeper-supervisor",
            [
                { name: "keeper", create: () => this.keeper },
                { name: "allocator", create: () => this.allocator },
                { name: "maintainer", create: () => this.createMaintainer() },
                { name: "learner-promoter", create: () => new LearnerPromoter(this.keeper, clock) },
            ],
            { maxRestarts: 0, periodMs: 1, delayMs: 0 },
            clock,
            events,
        );
    }
}
