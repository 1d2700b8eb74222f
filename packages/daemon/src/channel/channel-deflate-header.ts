/** Header with which a process says that it takes deflated notices. Those of earlier releases leave it out. */
export const channelDeflateHeader = "daisylock-channel-deflate";
