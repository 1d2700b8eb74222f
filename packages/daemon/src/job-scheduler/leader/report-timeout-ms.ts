/** Time without heartbeats after which they count as overdue, milliseconds. */
export const reportTimeoutMs = 3_500;
