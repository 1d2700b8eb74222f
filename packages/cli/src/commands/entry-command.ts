import type { Argv, CommandModule } from "yargs";

import { CommandContext } from "../command-context.js";
import { printResult } from "../output/print-result.js";

/** Manages entries, the ingress processes. */
export const entryCommand: CommandModule = {
    command: "entry",
    describe: "Manage entries, the processes that accept requests",
    builder: (yargs: Argv) =>
        yargs
            .command(
                "forget <name>",
                "Remove an entry that has stopped permanently, so that its grants can go to other entries",
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
