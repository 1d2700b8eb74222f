import { EventKind } from "@daisylock/core/events/event-kind.js";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";

import { SystemClock } from "./clock/system-clock.js";
import { createLogger } from "./logging/create-logger.js";
import { ProcessFailureReason } from "./process-failure/process-failure-reason.js";
import { ProcessFailureReporter } from "./process-failure/process-failure-reporter.js";
import { ProxyDaemon } from "./request-proxy/proxy-daemon.js";
import { loadSettings } from "./settings/load-settings.js";
import type { SettingsFailure } from "./settings/settings-failure.js";
import type { Settings } from "./settings/settings.js";

const exitUsage = 2;
const standardErrorFd = 2;

/** Events of individual requests, which are logged at debug level because of their volume. */
const requestEventKinds: ReadonlySet<EventKind> = new Set([
    EventKind.RequestQueued,
    EventKind.RequestDispatched,
    EventKind.RequestAnswered,
    EventKind.RequestRefused,
    EventKind.RequestRetried,
    EventKind.RequestUnknown,
]);

/** Prints the faults of the settings, and ends the process if there are any. */
function readSettings(file: string, exit: (failure: SettingsFailure) => never): Settings {
    return loadSettings(file).unwrapOrElse(failure => {
        process.stderr.write(`${failure.message}\n`);
        return exit(failure);
    });
}

async function runDaemon(file: string): Promise<void> {
    const log = { fd: standardErrorFd, process: "", takePendingLines: () => [], countPendingBytes: () => 0 };
    const failures = new ProcessFailureReporter(log);
    failures.start();
    const { SettingsUnusable, ComponentFailed } = ProcessFailureReason;
    const settings = readSettings(file, failure => failures.reportAndExit(SettingsUnusable, failure));
    failures.setLog({ ...log, process: settings.node.name });
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
        failures.reportAndExit(ComponentFailed, error);
    }
}

const settingsOption = {
    settings: { alias: "s", type: "string", demandOption: true, describe: "Settings file (TOML)" },
} as const;

await yargs(hideBin(process.argv))
    .scriptName("daisylockd")
    .command(["run", "$0"], "Run the daemon", settingsOption, ({ settings }) => runDaemon(settings))
    .command("check", "Validate a settings file without starting the daemon", settingsOption, ({ settings }) => {
        readSettings(settings, () => process.exit(exitUsage));
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
