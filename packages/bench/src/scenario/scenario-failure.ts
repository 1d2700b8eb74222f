/** A scenario file that cannot be read, parsed or validated. */
export class ScenarioFailure extends Error {
    override readonly name = "ScenarioFailure";

    /**
     * @param file - path of the scenario file
     * @param faults - validation errors, one line each
     */
    constructor(readonly file: string, readonly faults: readonly string[]) {
        super(faults.map(fault => `${file}: ${fault}`).join("\n"));
    }
}
