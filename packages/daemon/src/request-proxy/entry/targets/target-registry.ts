import { TargetAvailability } from "@daisylock/core/admission/target-availability.js";
import { EventKind } from "@daisylock/core/events/event-kind.js";
import type { Announcement } from "@daisylock/protocol/target/announcement.js";

import type { Clock } from "../../../clock/clock.js";
import type { EventLog } from "../../../events/event-log.js";
import type { AnnouncedTarget } from "./announced-target.js";

const minIntervalMs = 1_000;
/** Announcements of which all but one may be lost. */
const announcementsPerLease = 4;

/** The targets that announce themselves to this entry, each under a lease. */
export class TargetRegistry {
    private readonly registrations = new Map<string, AnnouncedTarget>();
    private version = 0;
    private readonly listeners: ((registration: AnnouncedTarget) => void)[] = [];

    /**
     * @param clock - monotonic time
     * @param minLeaseMs - shortest time within which a target has to announce itself again
     * @param maxRate - announcements a second that this entry wants
     * @param events - where changes are recorded
     */
    constructor(
        private readonly clock: Clock,
        private readonly minLeaseMs: number,
        private readonly maxRate: number,
        private readonly events: EventLog,
    ) {}

    /**
     * Adds a listener for announcements.
     * @param listener - called after each announcement and when a lease runs out
     */
    addListener(listener: (registration: AnnouncedTarget) => void): void {
        this.listeners.push(listener);
    }

    /**
     * Records an announcement.
     * @param vm - the VM
     * @param announcement - what it says
     * @returns false when it comes from an earlier start of the target
     */
    recordAnnouncement(vm: string, announcement: Announcement): boolean {
        const known = this.registrations.get(vm);
        if (known !== undefined && announcement.incarnation < known.incarnation) {
            return false;
        }
        const state = announcement.state === "ready" ? TargetAvailability.Ready : TargetAvailability.Leaving;
        const registration: AnnouncedTarget = {
            vm,
            incarnation: announcement.incarnation,
            address: announcement.address,
            slots: announcement.slots,
            state,
            running: new Map(announcement.running.map(row => [row.dispatch, row.team])),
            heardAt: this.clock.readMonotonic(),
            version: known?.version ?? 0,
        };
        if (known === undefined || isChanged(known, registration)) {
            registration.version = ++this.version;
            this.recordChange(registration);
        }
        this.registrations.set(vm, registration);
        this.reportChange(registration);
        return true;
    }

    /**
     * Computes the time between two announcements of a target, which grows with their number.
     * @returns milliseconds
     */
    computeInterval(): number {
        return Math.max(minIntervalMs, Math.ceil(1_000 * this.registrations.size / this.maxRate));
    }

    /**
     * Computes the time within which a target has to announce itself again.
     * @returns milliseconds
     */
    computeLease(): number {
        return Math.max(this.minLeaseMs, announcementsPerLease * this.computeInterval());
    }

    /** Marks the targets as gone whose lease ran out. */
    dropExpired(): void {
        const now = this.clock.readMonotonic();
        const leaseMs = this.computeLease();
        for (const registration of this.registrations.values()) {
            if (registration.state !== TargetAvailability.Gone && now - registration.heardAt > leaseMs) {
                registration.state = TargetAvailability.Gone;
                registration.version = ++this.version;
                this.recordChange(registration);
                this.reportChange(registration);
            }
        }
    }

    /**
     * Finds a target.
     * @param vm - the VM
     * @returns its registration, gone ones included
     */
    find(vm: string): AnnouncedTarget | undefined {
        return this.registrations.get(vm);
    }

    /**
     * Lists the registrations that changed.
     * @param sinceVersion - version up to which they are known
     * @returns the registrations
     */
    listSince(sinceVersion: number): AnnouncedTarget[] {
        return [...this.registrations.values()].filter(registration => registration.version > sinceVersion);
    }

    /**
     * Reads the newest version.
     * @returns the version
     */
    readVersion(): number {
        return this.version;
    }

    private reportChange(registration: AnnouncedTarget): void {
        for (const listener of this.listeners) {
            listener(registration);
        }
    }

    private recordChange(registration: AnnouncedTarget): void {
        const kinds = {
            [TargetAvailability.Ready]: EventKind.TargetReady,
            [TargetAvailability.Leaving]: EventKind.TargetLeaving,
            [TargetAvailability.Gone]: EventKind.TargetGone,
        };
        const detail = `incarnation ${registration.incarnation}`;
        this.events.record(kinds[registration.state], { vm: registration.vm, detail });
    }
}

function isChanged(before: AnnouncedTarget, after: AnnouncedTarget): boolean {
    return before.incarnation !== after.incarnation || before.address !== after.address
        || before.slots !== after.slots || before.state !== after.state;
}
