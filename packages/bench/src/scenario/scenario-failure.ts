/** A scenario that can't be run. */
export class ScenarioFailure extends Error {
    override readonly name = "ScenarioFailure";

    /**
     * @param file - path of the scenario
     * @param faults - what is wrong, one line each
     */
    constructor(readonly file: string, readonly faults: readonly string[]) {
        super(faults.map(fault => `${file}: ${fault}`).join("\n"));
    }
}
