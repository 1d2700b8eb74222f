import type { Clock } from "../../clock/clock.js";
import type { VmAuthority } from "../vms/vm-authority.js";
import type { VmService } from "../vms/vm-service.js";
import type { VmView } from "../vms/vm-view.js";
import type { Leadership } from "./leadership.js";

/** Age from which the list of VMs is read again, milliseconds. */
const maxListAgeMs = 4_000;

/** What the gate needs. */
interface GateSurroundings {
    readonly leadership: Leadership;
    readonly vms: VmService;
    readonly clock: Clock;
    /** Name of this process, under which it holds the lease of VMs. */
    readonly holder: string;
    readonly holderLeaseMs: number;
}

/**
 * Lets orders about VMs out once an earlier leader's last order is older than its lease, and keeps the platform's list
 * of VMs.
 */
export class VmAuthorityGate {
    private token = 0;
    private listed: readonly VmView[] | undefined;
    private listedAt = 0;
    private isListing = false;

    /**
     * @param surroundings - what the gate needs
     */
    constructor(private readonly surroundings: GateSurroundings) {}

    /**
     * Reads under whose lease orders go out.
     * @returns the lease, or `undefined` while it is not free or the VMs are not known
     */
    readAuthority(): VmAuthority | undefined {
        const { leadership, clock, holder, holderLeaseMs } = this.surroundings;
        const token = leadership.readToken();
        if (token !== this.token) {
            this.token = token;
            this.listed = undefined;
        }
        const ledMs = clock.readMonotonic() - leadership.readStart();
        if (!leadership.isDeciding() || ledMs < holderLeaseMs) {
            return undefined;
        }
        if (this.listed === undefined || clock.readMonotonic() - this.listedAt > maxListAgeMs) {
            void this.updateList(token);
        }
        return this.listed === undefined ? undefined : { holder, fencingToken: token };
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
        const listed = await this.surroundings.vms.listVms();
        this.isListing = false;
        if (token === this.token) {
            this.listed = listed ?? this.listed;
            this.listedAt = this.surroundings.clock.readMonotonic();
        }
    }
}
