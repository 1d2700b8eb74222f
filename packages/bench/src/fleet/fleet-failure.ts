/** A fleet that does not do what an experiment needs. */
export class FleetFailure extends Error {
    override readonly name = "FleetFailure";
}
