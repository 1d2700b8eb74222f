/** A target whose slots can be granted. */
export interface SlotSupply {
    readonly vm: string;
    readonly zone: string;
    readonly slots: number;
}
