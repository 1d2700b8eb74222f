/** An entry's demand for slots of a pool. */
export interface SlotDemand {
    readonly holder: string;
    readonly zone: string;
    /** Number of slots that the entry could use, taken from its demand peak. */
    readonly wanted: number;
    /** Slots that the entry has now, by VM. */
    readonly current: ReadonlyMap<string, number>;
}
