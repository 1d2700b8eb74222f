/** A target with slots to give out. */
export interface SlotSupply {
    readonly vm: string;
    readonly zone: string;
    readonly slots: number;
}
