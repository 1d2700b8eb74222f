import { isHolderLeaseOver } from "@daisylock/core/pools/is-holder-lease-over.js";
import type { VmOrderRecord } from "@daisylock/core/pools/vm-order-record.js";

import type { Clock } from "../../clock/clock.js";
import type { VmAuthority } from "../vms/vm-authority.js";
import type { VmService } from "../vms/vm-service.js";
import type { VmView } from "../vms/vm-view.js";
import type { Leadership } from "./leadership.js";

/** Age from which the list of VMs is read again, milliseconds. */
const maxListAgeMs = 4_000;
/** The same when somebody needs to know about a VM that does not answer. */
const urgentListAgeMs = 400;

/** What the gate needs. */
interface GateSurroundings {
    readonly leadership: Leadership;
    readonly vms: VmService;
    readonly clock: Clock;
    /** Name of this process, under which it holds the lease of VMs. */
    readonly holder: string;
    readonly holderLeaseMs: number;
}

/** When an order about a VM was first seen in the replicated state. */
interface SeenOrder {
    readonly order: VmOrderRecord;
    /** Monotonic milliseconds. */
    readonly at: number;
}

/**
 * Lets orders about a VM out once an earlier leader's last order about it is older than its lease, and keeps the
 * platform's list of VMs. Orders are recorded before they are given, so that every keeper sees them.
 */
export class VmAuthorityGate {
    private token = 0;
    private readonly seen = new Map<string, SeenOrder>();
    private listed: readonly VmView[] | undefined;
    private listedAt = 0;
    /** When the newest list that has come was asked for. */
    private listAskedAt = 0;
    private isListing = false;

    /**
     * @param surroundings - what the gate needs
     */
    constructor(private readonly surroundings: GateSurroundings) {}

    /** Notes the orders of whichever process leads; to be called on every keeper, often against the holder's lease. */
    noteOrders(): void {
        const { leadership, clock } = this.surroundings;
        for (const [vm, order] of leadership.readFleet().vmOrders) {
            const known = this.seen.get(vm)?.order;
            if (known?.token !== order.token || known.atMs !== order.atMs) {
                this.seen.set(vm, { order, at: clock.readMonotonic() });
            }
        }
    }

    /**
     * Reads under which name this process gives orders.
     * @returns its name
     */
    readHolder(): string {
        return this.surroundings.holder;
    }

    /**
     * Tells whether an earlier leader's last order about a VM is older than its lease.
     * @param vm - the VM
     * @returns true when orders about it may go out
     */
    isFree(vm: string): boolean {
        const { leadership, clock, holder, holderLeaseMs } = this.surroundings;
        const seen = this.seen.get(vm);
        return seen === undefined || seen.order.token === leadership.readToken() || isHolderLeaseOver({
            order: seen.order,
            holder,
            seenForMs: clock.readMonotonic() - seen.at,
            nowMs: clock.readWall(),
            leaseMs: holderLeaseMs,
        });
    }

    /**
     * Reads under whose lease orders go out.
     * @returns the lease, or `undefined` while this process does not lead or the VMs are not known
     */
    readAuthority(): VmAuthority | undefined {
        const { leadership, clock, holder } = this.surroundings;
        const token = leadership.readToken();
        if (token !== this.token) {
            this.token = token;
            this.listed = undefined;
        }
        if (!leadership.isDeciding()) {
            return undefined;
        }
        if (this.listed === undefined || clock.readMonotonic() - this.listedAt > maxListAgeMs) {
            void this.updateList(token);
        }
        return this.listed === undefined ? undefined : { holder, fencingToken: token };
    }

    /**
     * Finds what the platform says of a VM, in a list that was asked for after a given moment.
     * @param vm - the VM
     * @param since - monotonic milliseconds
     * @returns the VM; `undefined` when it is not listed; or "unknown" until such a list has come
     */
    findVm(vm: string, since: number): VmView | undefined | "unknown" {
        const now = this.surroundings.clock.readMonotonic();
        if (this.readAuthority() === undefined || this.listAskedAt < since) {
            if (now - this.listAskedAt > urgentListAgeMs) {
                void this.updateList(this.token);
            }
            return "unknown";
        }
        return this.readVms().find(view => view.vm === vm);
    }

    /**
     * Reads the platform's list of VMs.
     * @returns the VMs as last listed; empty before
     */
    readVms(): readonly VmView[] {
        return this.listed ?? [];
    }

    private async updateList(token: number): Promise<void> {
        if (this.isListing) {
            return;
        }
        this.isListing = true;
        const askedAt = this.surroundings.clock.readMonotonic();
        const listed = await this.surroundings.vms.listVms();
        this.isListing = false;
        if (token === this.token && listed !== undefined) {
            this.listed = listed;
            this.listAskedAt = askedAt;
            this.listedAt = this.surroundings.clock.readMonotonic();
        }
    }
}
