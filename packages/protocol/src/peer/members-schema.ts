import * as v from "valibot";

const addresses = v.record(v.string(), v.string());

/** Schema of the members of a cluster, as encoded in a log entry or a snapshot. */
export const membersSchema = v.object({ voters: addresses, learners: addresses });
