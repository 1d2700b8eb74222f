/** A fleet that does not do what an experiment needs. */
export class ClusterFailure extends Error {
    override readonly name = "FleetFailure";
}
