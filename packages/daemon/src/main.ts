import { EventKind } from "@daisylock/core/events/event-kind.js";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";

import { SystemClock } from "./clock/system-clock.js";
import { createLogger } from "./logging/create-logger.js";
import { ProxyDaemon } from "./request-proxy/proxy-daemon.js";
import { loadSettings } from "./settings/load-settings.js";
import type { Settings } from "./settings/settings.js";

const exitFailure = 1;
const exitUsage = 2;

/** Events of individual requests, which are logged at debug level because of their volume. */
const requestEventKinds: ReadonlySet<EventKind> = new Set([
    EventKind.RequestQueued,
    EventKind.RequestDispatched,
    EventKind.RequestAnswered,
    EventKind.RequestRefused,
    EventKind.RequestRetried,
    EventKind.RequestUnknown,
]);

function readSettings(file: string): Settings {
    return loadSettings(file).unwrapOrElse(failure => {
        process.stderr.write(`${failure.message}\n`);
        process.exit(exitUsage);
    });
}

async function runDaemon(file: string): Promise<void> {
    const settings = readSettings(file);
    const logger = createLogger(settings.node.name, settings.log.level);
    const daemon = new ProxyDaemon(settings, new SystemClock());
    daemon.events.addListener(({ kind, time, process: name, ...fields }) => {
        if (requestEventKinds.has(kind)) {
            logger.debug(kind, fields);
        }
        else {
            logger.info(kind, fields);
        }
    });
    process.on("SIGTERM", () => daemon.stop());
    process.on("SIGINT", () => daemon.stop());
    try {
        await daemon.run();
        process.exit(0);
    }
    catch (error) {
        logger.error("daemon stopped after an unrecoverable error", { error: String(error) });
        process.exit(exitFailure);
    }
}

const settingsOption = {
    settings: { alias: "s", type: "string", demandOption: true, describe: "Settings file (TOML)" },
} as const;

await yargs(hideBin(process.argv))
    .scriptName("daisylockd")
    .command(["run", "$0"], "Run the daemon", settingsOption, ({ settings }) => runDaemon(settings))
    .command("check", "Validate a settings file without starting the daemon", settingsOption, ({ settings }) => {
        readSettings(settings);
        process.stdout.write(`${settings}: good\n`);
    })
    .example("$0 run --settings examples/single.toml", "run the daemon with a settings file")
    .strict()
    .fail((message: string | undefined, error: Error | undefined) => {
        process.stderr.write(`${message ?? String(error)}\n`);
        process.exit(exitUsage);
    })
    .completion("completion", "Print a shell completion script")
    .parseAsync();
