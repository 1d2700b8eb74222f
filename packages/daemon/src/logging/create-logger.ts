import loglevel from "loglevel";

/**
 * Creates the process's logger. Each line on standard error is one JSON object.
 * @param process - name of this process
 * @param level - lowest level that is written
 * @returns the logger; call it with a message and an object of fields
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
