import type { CommandModule } from "yargs";

import { CommandContext } from "../command-context.js";
import { printResult } from "../output/print-result.js";

/** Looks up what became of a change. */
export const changeCommand: CommandModule = {
    command: "change <id>",
    describe: "Show what became of a change and where it is in force",
    handler: async options => {
        const context = new CommandContext(options);
        printResult(context.output, await context.client.sendChecked("GET", `/v1/changes/${String(options["id"])}`));
    },
};
