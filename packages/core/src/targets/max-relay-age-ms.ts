/**
 * Age of a request from which a relay does not send it, milliseconds: the relay was suspended, or the clocks differ, and in
 * both cases the leader sends it itself.
 */
export const maxRelayAgeMs = 1_000;
