import type { ExitCode } from "./exit-code.js";

/** A command that did not succeed. */
export class CommandFailure extends Error {
    override readonly name = "CommandFailure";

    /**
     * @param code - exit code
     * @param message - for the operator
     */
    constructor(readonly code: ExitCode, message: string) {
        super(message);
    }
}
