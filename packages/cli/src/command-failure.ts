import type { ExitCode } from "./exit-code.js";

/** Error that ends the command line with an exit code. */
export class CommandFailure extends Error {
    override readonly name = "CommandFailure";

    /**
     * @param code - exit code
     * @param message - text for standard error
     */
    constructor(readonly code: ExitCode, message: string) {
        super(message);
    }
}
