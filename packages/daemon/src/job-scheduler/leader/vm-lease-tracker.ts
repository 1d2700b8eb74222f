import { isHolderLeaseExpired } from "@daisylock/core/pools/is-holder-lease-expired.js";
import type { VmRequestRecord } from "@daisylock/core/pools/vm-request-record.js";

import type { Clock } from "../../clock/clock.js";
import { runContained } from "../../containment/run-contained.js";
import { startContained } from "../../containment/start-contained.js";
import { WorkKind } from "../../containment/work-kind.js";
import { createFaultListener } from "../logging/create-fault-listener.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { VmLease } from "../vms/vm-lease.js";
import type { VmService } from "../vms/vm-service.js";
import type { VmView } from "../vms/vm-view.js";
import type { Leadership } from "./leadership.js";

/** Age after which the list of VMs is fetched again, milliseconds. */
const maxListAgeMs = 4_000;
/** Age after which the list is fetched again to check the VM of an unreachable target, milliseconds. */
const urgentListAgeMs = 400;

/** Time for which the list is not fetched after a fault, milliseconds. */
const faultDelayMs = 1_000;

/** Dependencies of the VM lease tracker. */
interface VmLeaseDependencies {
    readonly leadership: Leadership;
    readonly vms: VmService;
    readonly clock: Clock;
    readonly log: Pick<DecisionLog, "record">;
    /** Name of this process, under which it holds VM leases. */
    readonly holder: string;
    /** Time after a request about a VM for which only its sender may send another, milliseconds. */
    readonly holderLeaseMs: number;
}

/** A request about a VM, and when it was first seen in the replicated state. */
interface ObservedVmRequest {
    readonly request: VmRequestRecord;
    /** Monotonic milliseconds. */
    readonly at: number;
}

/**
 * Tracks the leases on VMs and caches the VM service's list of VMs. A request about a VM gives its sender a lease on
 * the VM, which must expire before another process may send one. Requests are committed before they are sent, so that
 * every keeper sees them.
 */
export class VmLeaseTracker {
    private token = 0;
    private readonly observedRequests = new Map<string, ObservedVmRequest>();
    private vmList: readonly VmView[] | undefined;
    /** The list before the cached one; `undefined` if there is none of this leadership. */
    private previousVmList: readonly VmView[] | undefined;
    /** When that list was requested, monotonic milliseconds. */
    private previousListRequestedAt = 0;
    private listReceivedAt = 0;
    /** When the cached list was requested, monotonic milliseconds. */
    private listRequestedAt = 0;
    private isListRequested = false;

    /**
     * @param dependencies - VM service, leadership, clock and lease settings
     */
    constructor(private readonly dependencies: VmLeaseDependencies) {}

    /**
     * Records the latest committed VM requests, whichever process leads. Has to be called on every keeper, at intervals
     * much shorter than the holder's lease.
     */
    noteRequests(): void {
        const { leadership, clock } = this.dependencies;
        for (const [vm, request] of leadership.readFleet().vmOrders) {
            const previous = this.observedRequests.get(vm)?.request;
            if (previous?.token !== request.token || previous.atMs !== request.atMs) {
                this.observedRequests.set(vm, { request, at: clock.readMonotonic() });
            }
        }
    }

    /**
     * Reads the name under which this process sends VM requests.
     * @returns the name of the lease holder
     */
    readHolder(): string {
        return this.dependencies.holder;
    }

    /**
     * Tells whether no other process holds a lease on a VM from an earlier request.
     * @param vm - the VM
     * @returns true when this process may send requests about the VM
     */
    isLeaseAvailable(vm: string): boolean {
        const { leadership, clock, holder, holderLeaseMs } = this.dependencies;
        const observed = this.observedRequests.get(vm);
        return observed === undefined || observed.request.token === leadership.readFencingToken()
            || isHolderLeaseExpired({
                request: observed.request,
                holder,
                seenForMs: clock.readMonotonic() - observed.at,
                nowMs: clock.readWall(),
                leaseMs: holderLeaseMs,
            });
    }

    /**
     * Reads the lease under which this process sends VM requests.
     * @returns the lease, or `undefined` while this process is not the active leader or has no list of VMs
     */
    readLease(): VmLease | undefined {
        const { leadership, clock, holder } = this.dependencies;
        const token = leadership.readFencingToken();
        if (token !== this.token) {
            this.token = token;
            this.vmList = undefined;
            this.previousVmList = undefined;
        }
        if (!leadership.isActive()) {
            return undefined;
        }
        if (this.vmList === undefined || clock.readMonotonic() - this.listReceivedAt > maxListAgeMs) {
            this.startListUpdate(token);
        }
        return this.vmList === undefined ? undefined : { holder, fencingToken: token };
    }

    /**
     * Finds a VM in a list that was requested after a given time. The list is read in pages, and a VM that is moved
     * meanwhile shifts the others, so that one list can miss a VM.
     * @param vm - the VM
     * @param since - earliest request time of the list, monotonic milliseconds
     * @returns the VM; `undefined` when two such lists in a row miss it; or "unknown" until such lists have arrived
     */
    findVm(vm: string, since: number): VmView | undefined | "unknown" {
        const isListRecent = this.readLease() !== undefined && this.listRequestedAt >= since;
        const view = isListRecent ? this.readVms().find(other => other.vm === vm) : undefined;
        const isMissedTwice = isListRecent && this.previousListRequestedAt >= since
            && this.previousVmList?.some(other => other.vm === vm) === false;
        if (view !== undefined || isMissedTwice) {
            return view;
        }
        if (this.dependencies.clock.readMonotonic() - this.listRequestedAt > urgentListAgeMs) {
            this.startListUpdate(this.token);
        }
        return "unknown";
    }

    /**
     * Reads the cached list of VMs.
     * @returns the VMs as last listed by the VM service; empty until the first list has arrived
     */
    readVms(): readonly VmView[] {
        return this.vmList ?? [];
    }

    private startListUpdate(token: number): void {
        if (this.isListRequested) {
            return;
        }
        this.isListRequested = true;
        const noteFault = createFaultListener(this.dependencies.log);
        const work = { work: WorkKind.VmList, subject: this.dependencies.holder };
        startContained(noteFault, work, async () => {
            await runContained(noteFault, work, () => this.updateVmList(token), () => this.waitFaultDelay());
            this.isListRequested = false;
        });
    }

    private waitFaultDelay(): Promise<void> {
        return new Promise(resolve => {
            this.dependencies.clock.schedule(faultDelayMs, resolve);
        });
    }

    private async updateVmList(token: number): Promise<void> {
        const requestedAt = this.dependencies.clock.readMonotonic();
        const vmList = await this.dependencies.vms.listVms();
        if (token === this.token && vmList !== undefined) {
            this.previousVmList = this.vmList;
            this.previousListRequestedAt = this.listRequestedAt;
            this.vmList = vmList;
            this.listRequestedAt = requestedAt;
            this.listReceivedAt = this.dependencies.clock.readMonotonic();
        }
    }
}
