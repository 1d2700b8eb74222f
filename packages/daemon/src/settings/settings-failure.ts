/** Thrown or returned for a settings file that cannot be read or is invalid. */
export class SettingsFailure extends Error {
    override readonly name = "SettingsFailure";

    /**
     * @param file - path of the file
     * @param faults - validation errors, each one line with the key and the expected value
     */
    constructor(readonly file: string, readonly faults: readonly string[]) {
        super(faults.map(fault => `${file}: ${fault}`).join("\n"));
    }
}
