/** A fleet for wave experiments. */
export interface FleetShape {
    readonly name: string;
    readonly vms: number;
    readonly pools: number;
    readonly zones: number;
    readonly vmsPerRack: number;
    readonly maxUnavailablePercent: number;
}
