/** Number of fencing tokens that a leader may use: its term and those above it, below the next term. */
export const tokensPerTerm = 1_024;
