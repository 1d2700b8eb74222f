import { TargetAvailability } from "@daisylock/core/admission/target-availability.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import type { Announcement } from "@daisylock/protocol/target/announcement.js";

import type { Clock } from "../../../clock/clock.js";
import type { EventLog } from "../../../events/event-log.js";
import type { AnnouncedTarget } from "./announced-target.js";

/** Shortest interval between two announcements of a target, milliseconds. */
const minIntervalMs = 1_000;
/** Announcement intervals per lease. The lease is renewed even if all announcements but one are lost. */
const announcementsPerLease = 4;

/** The targets that announce themselves to this entry, each under a lease. */
export class TargetRegistry {
    private readonly targets = new Map<string, AnnouncedTarget>();
    private version = 0;
    private readonly listeners: ((target: AnnouncedTarget) => void)[] = [];

    /**
     * @param clock - monotonic time
     * @param minLeaseMs - shortest lease of a target, milliseconds
     * @param maxRate - intended maximum number of announcements that this entry receives per second
     * @param events - log for changes of targets
     */
    constructor(
        private readonly clock: Clock,
        private readonly minLeaseMs: number,
        private readonly maxRate: number,
        private readonly events: EventLog,
    ) {}

    /**
     * Adds a listener for announcements.
     * @param listener - called after each announcement and when a lease expires
     */
    addListener(listener: (target: AnnouncedTarget) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Records an announcement.
     * @param vm - VM of the target
     * @param announcement - the announcement
     * @returns false when it comes from an earlier incarnation of the target
     */
    recordAnnouncement(vm: string, announcement: Announcement): boolean {
        const previous = this.targets.get(vm);
        if (previous !== undefined && announcement.incarnation < previous.incarnation) {
            return false;
        }
        const state = announcement.state === "ready" ? TargetAvailability.Ready : TargetAvailability.Leaving;
        const target: AnnouncedTarget = {
            vm,
            incarnation: announcement.incarnation,
            address: announcement.address,
            slots: announcement.slots,
            state,
            running: new Map(announcement.running.map(row => [row.dispatch, row.team])),
            reportedAt: this.clock.readMonotonic(),
            version: previous?.version ?? 0,
        };
        if (previous === undefined || isChanged(previous, target)) {
            target.version = ++this.version;
            this.recordChange(target);
        }
        this.targets.set(vm, target);
        this.reportChange(target);
        return true;
    }

    /**
     * Computes the interval between two announcements of a target. It grows with the number of targets, to limit the
     * rate of announcements.
     * @returns the interval, milliseconds
     */
    computeInterval(): number {
        return Math.max(minIntervalMs, Math.ceil(1_000 * this.targets.size / this.maxRate));
    }

    /**
     * Computes the lease: the time within which a target must announce itself again.
     * @returns the lease, milliseconds
     */
    computeLease(): number {
        return Math.max(this.minLeaseMs, announcementsPerLease * this.computeInterval());
    }

    /** Marks the targets with an expired lease as gone. */
    dropExpired(): void {
        const now = this.clock.readMonotonic();
        const leaseMs = this.computeLease();
        for (const target of this.targets.values()) {
            if (target.state !== TargetAvailability.Gone && now - target.reportedAt > leaseMs) {
                target.state = TargetAvailability.Gone;
                target.version = ++this.version;
                this.recordChange(target);
                this.reportChange(target);
            }
        }
    }

    /**
     * Finds a target.
     * @param vm - VM of the target
     * @returns the target, also when it is gone; `undefined` if it never announced itself here
     */
    find(vm: string): AnnouncedTarget | undefined {
        return this.targets.get(vm);
    }

    /**
     * Lists the targets that changed, gone ones included.
     * @param sinceVersion - registry version; only later changes are listed
     * @returns the targets
     */
    listSince(sinceVersion: number): AnnouncedTarget[] {
        return [...this.targets.values()].filter(target => target.version > sinceVersion);
    }

    /**
     * Reads the version of the newest change.
     * @returns the registry version
     */
    readVersion(): number {
        return this.version;
    }

    private reportChange(target: AnnouncedTarget): void {
        for (const listener of this.listeners) {
            listener(target);
        }
    }

    private recordChange(target: AnnouncedTarget): void {
        const kinds = {
            [TargetAvailability.Ready]: EventKind.TargetReady,
            [TargetAvailability.Leaving]: EventKind.TargetLeaving,
            [TargetAvailability.Gone]: EventKind.TargetGone,
        };
        const detail = `incarnation ${target.incarnation}`;
        this.events.record(kinds[target.state], { vm: target.vm, detail });
    }
}

function isChanged(before: AnnouncedTarget, after: AnnouncedTarget): boolean {
    return before.incarnation !== after.incarnation || before.address !== after.address
        || before.slots !== after.slots || before.state !== after.state;
}
