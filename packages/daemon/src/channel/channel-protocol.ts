/** Value of the header `upgrade` with which a connection between two processes becomes a channel. */
export const channelProtocol = "daisylock-channel";
