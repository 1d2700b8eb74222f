/** Longest message that is logged, characters. */
const maxMessageLength = 500;
/** Longest stack frame that is logged, characters. */
const maxFrameLength = 200;
/** Stack frames that are logged. */
const maxFrames = 10;

/** An error as fields of a log line. */
interface ErrorFields {
    /** Class of the error; the type of a thrown value that is no error. */
    readonly error: string;
    readonly message: string;
    /** First stack frames of the error or its cause, separated by line ends; `undefined` if no error was thrown. */
    readonly stack: string | undefined;
}

/**
 * Describes an error for a log line of bounded length.
 * @param error - the thrown value
 * @returns the fields
 */
export function describeError(error: unknown): ErrorFields {
    if (!(error instanceof Error)) {
        return { error: typeof error, message: String(error).slice(0, maxMessageLength), stack: undefined };
    }
    const thrown = error.cause instanceof Error ? error.cause : error;
    const frames = (thrown.stack ?? "").split("\n").filter(line => line.startsWith("    at ")).slice(0, maxFrames);
    return {
        error: error.name,
        message: error.message.slice(0, maxMessageLength),
        stack: frames.map(frame => frame.trim().slice(0, maxFrameLength)).join("\n"),
    };
}
