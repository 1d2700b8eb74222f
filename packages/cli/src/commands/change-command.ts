import type { CommandModule } from "yargs";

import { CommandContext } from "../command-context.js";
import { printResult } from "../output/print-result.js";

/** Shows the outcome of a change. */
export const changeCommand: CommandModule = {
    command: "change <id>",
    describe: "Show the outcome of a change and how many entries of each zone have applied it",
    handler: async options => {
        const context = new CommandContext(options);
        printResult(context.output, await context.client.sendChecked("GET", `/v1/changes/${String(options["id"])}`));
    },
};
