/** Callbacks for what peers do on the channels that this process has opened. */
export interface ChannelListener {
    /** Called for each notice that a peer sends. */
    readonly handleNotice: (address: string, path: string, body: Buffer) => void;
    /** Called when a channel has ended. */
    readonly handleClose: (address: string) => void;
}
