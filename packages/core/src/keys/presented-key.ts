/** An API key as presented by a client, not yet verified. */
export interface PresentedKey {
    readonly id: string;
    readonly secret: string;
}
