import type { Argv, CommandModule } from "yargs";

import { CommandContext } from "../command-context.js";
import { printResult } from "../output/print-result.js";

/** Tells the system that an entry is gone for good. */
export const entryCommand: CommandModule = {
    command: "entry",
    describe: "Entries take requests",
    builder: (yargs: Argv) =>
        yargs
            .command(
                "forget <name>",
                "Say that an entry has stopped for good, so that its parts of the limits become free",
                argv => argv.positional("name", { type: "string" }),
                async options => {
                    const context = new CommandContext(options);
                    const path = `/v1/entries/${String(options.name)}`;
                    printResult(context.output, await context.client.sendChecked("DELETE", path));
                },
            )
            .demandCommand(1),
    handler: () => undefined,
};
