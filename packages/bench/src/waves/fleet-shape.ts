/** Size and layout of a simulated fleet. */
export interface FleetShape {
    readonly name: string;
    readonly vms: number;
    readonly pools: number;
    readonly zones: number;
    readonly vmsPerRack: number;
    /** Disruption budget of each pool, percent of its VMs. */
    readonly maxUnavailablePercent: number;
}
