/**
 * Header with which a process says that it takes notices for which it sends notices back on the same channel. Those of
 * earlier releases leave it out.
 */
export const channelNoticeHeader = "daisylock-channel-notices";
