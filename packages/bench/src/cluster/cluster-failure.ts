/** A local cluster is misconfigured or does not reach an expected state in time. */
export class ClusterFailure extends Error {
    override readonly name = "ClusterFailure";
}
