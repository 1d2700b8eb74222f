import { isHolderLeaseExpired } from "@daisylock/core/pools/is-holder-lease-expired.js";
import type { VmRequestRecord } from "@daisylock/core/pools/vm-request-record.js";

import type { Clock } from "../../clock/clock.js";
import type { VmLease } from "../vms/vm-lease.js";
import type { VmService } from "../vms/vm-service.js";
import type { VmView } from "../vms/vm-view.js";
import type { Leadership } from "./leadership.js";

/** Age from which the list of VMs is read again, milliseconds. */
const maxListAgeMs = 4_000;
/** The same when somebody needs to know about a VM that does not answer. */
const urgentListAgeMs = 400;

/** What the gate needs. */
interface VmLeaseDependencies {
    readonly leadership: Leadership;
    readonly vms: VmService;
    readonly clock: Clock;
    /** Name of this process, under which it holds the lease of VMs. */
    readonly holder: string;
    readonly holderLeaseMs: number;
}

/** When an order about a VM was first seen in the replicated state. */
interface ObservedVmRequest {
    readonly order: VmRequestRecord;
    /** Monotonic milliseconds. */
    readonly at: number;
}

/**
 * Lets orders about a VM out once an earlier leader's last order about it is older than its lease, and keeps the
 * platform's list of VMs. Orders are recorded before they are given, so that every keeper sees them.
 */
export class VmLeaseTracker {
    private token = 0;
    private readonly observedRequests = new Map<string, ObservedVmRequest>();
    private vmList: readonly VmView[] | undefined;
    private listReceivedAt = 0;
    /** When the newest list that has come was asked for. */
    private listRequestedAt = 0;
    private isListRequested = false;

    /**
     * @param dependencies - what the gate needs
     */
    constructor(private readonly dependencies: VmLeaseDependencies) {}

    /** Notes the orders of whichever process leads; to be called on every keeper, often against the holder's lease. */
    noteRequests(): void {
        const { leadership, clock } = this.dependencies;
        for (const [vm, order] of leadership.readFleet().vmOrders) {
            const known = this.observedRequests.get(vm)?.order;
            if (known?.token !== order.token || known.atMs !== order.atMs) {
                this.observedRequests.set(vm, { order, at: clock.readMonotonic() });
            }
        }
    }

    /**
     * Reads under which name this process gives orders.
     * @returns its name
     */
    readHolder(): string {
        return this.dependencies.holder;
    }

    /**
     * Tells whether an earlier leader's last order about a VM is older than its lease.
     * @param vm - the VM
     * @returns true when orders about it may go out
     */
    isLeaseAvailable(vm: string): boolean {
        const { leadership, clock, holder, holderLeaseMs } = this.dependencies;
        const seen = this.observedRequests.get(vm);
        return seen === undefined || seen.order.token === leadership.readFencingToken() || isHolderLeaseExpired({
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
    readLease(): VmLease | undefined {
        const { leadership, clock, holder } = this.dependencies;
        const token = leadership.readFencingToken();
        if (token !== this.token) {
            this.token = token;
            this.vmList = undefined;
        }
        if (!leadership.isActive()) {
            return undefined;
        }
        if (this.vmList === undefined || clock.readMonotonic() - this.listReceivedAt > maxListAgeMs) {
            void this.updateVmList(token);
        }
        return this.vmList === undefined ? undefined : { holder, fencingToken: token };
    }

    /**
     * Finds what the platform says of a VM, in a list that was asked for after a given moment.
     * @param vm - the VM
     * @param since - monotonic milliseconds
     * @returns the VM; `undefined` when it is not listed; or "unknown" until such a list has come
     */
    findVm(vm: string, since: number): VmView | undefined | "unknown" {
        const now = this.dependencies.clock.readMonotonic();
        if (this.readLease() === undefined || this.listRequestedAt < since) {
            if (now - this.listRequestedAt > urgentListAgeMs) {
                void this.updateVmList(this.token);
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
        return this.vmList ?? [];
    }

    private async updateVmList(token: number): Promise<void> {
        if (this.isListRequested) {
            return;
        }
        this.isListRequested = true;
        const askedAt = this.dependencies.clock.readMonotonic();
        const listed = await this.dependencies.vms.listVms();
        this.isListRequested = false;
        if (token === this.token && listed !== undefined) {
            this.vmList = listed;
            this.listRequestedAt = askedAt;
            this.listReceivedAt = this.dependencies.clock.readMonotonic();
        }
    }
}
