/** A settings file that can't be used. */
export class SettingsFailure extends Error {
    override readonly name = "SettingsFailure";

    /**
     * @param file - path of the file
     * @param faults - one line each: key and what is expected
     */
    constructor(readonly file: string, readonly faults: readonly string[]) {
        super(faults.map(fault => `${file}: ${fault}`).join("\n"));
    }
}
