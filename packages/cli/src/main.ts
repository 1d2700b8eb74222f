import yargs from "yargs";
import { hideBin } from "yargs/helpers";

import { CommandFailure } from "./command-failure.js";
import { applyCommand } from "./commands/apply-command.js";
import { benchCommand } from "./commands/bench-command.js";
import { buildObjectCommand } from "./commands/build-object-command.js";
import { changeCommand } from "./commands/change-command.js";
import { entryCommand } from "./commands/entry-command.js";
import { explainCommand } from "./commands/explain-command.js";
import { keeperCommand } from "./commands/keeper-command.js";
import { keyCommand } from "./commands/key-command.js";
import { objectCommandDefinitions } from "./commands/object-command-definitions.js";
import { statusCommand } from "./commands/status-command.js";
import { timelineCommand } from "./commands/timeline-command.js";
import { waveCommand } from "./commands/wave-command.js";
import { ExitCode } from "./exit-code.js";
import { globalOptions } from "./global-options.js";

// A reader such as head may close the pipe early.
process.stdout.on("error", () => process.exit(ExitCode.Done));

const parser = yargs(hideBin(process.argv))
    .scriptName("daisylock")
    .options(globalOptions)
    .command(keyCommand)
    .command(applyCommand)
    .command(statusCommand)
    .command(changeCommand)
    .command(keeperCommand)
    .command(entryCommand)
    .command(timelineCommand)
    .command(explainCommand)
    .command(waveCommand)
    .command(benchCommand)
    .example("$0 status", "show the state of the system")
    .example("$0 apply -f examples/tables.toml", "apply the tables in a file")
    .epilogue("Exit codes: 0 done, 1 refused, 2 usage, 3 conflict with another operator, 4 no response or unavailable.")
    .demandCommand(1)
    .strict()
    .completion("completion", "Print a script for shell completion")
    .fail((message: string | undefined, error: Error | undefined) => {
        process.stderr.write(`${error?.message ?? message ?? ""}\n`);
        process.exit(error instanceof CommandFailure ? error.code : ExitCode.Usage);
    });
for (const definition of objectCommandDefinitions) {
    parser.command(buildObjectCommand(definition));
}
await parser.parseAsync();
