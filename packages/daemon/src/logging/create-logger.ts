import loglevel from "loglevel";

/**
 * Creates the logger of the process, which writes one JSON object per line to standard error.
 * @param process - name of this process
 * @param level - minimum level of the lines that are written
 * @returns the logger; its methods take a message and an object with additional fields of the line
 */
export function createLogger(process: string, level: loglevel.LogLevelDesc): loglevel.Logger {
    const logger = loglevel.getLogger(`daisylock/${process}`);
    logger.methodFactory = methodName => (message: unknown, fields?: unknown) => {
        const line = { time: new Date().toISOString(), level: methodName, process, message, ...fields as object };
        globalThis.process.stderr.write(`${JSON.stringify(line)}\n`);
    };
    logger.setLevel(level, false);
    return logger;
}
