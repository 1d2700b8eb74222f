/** An entry that may get slots of a pool. */
export interface SlotDemand {
    readonly holder: string;
    readonly zone: string;
    /** Slots the entry could use. */
    readonly wanted: number;
    /** Slots it has now, by VM. */
    readonly current: ReadonlyMap<string, number>;
}
