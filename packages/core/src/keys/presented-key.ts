/** A key as a caller presents it. */
export interface PresentedKey {
    readonly id: string;
    readonly secret: string;
}
