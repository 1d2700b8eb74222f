import type { TableEdit } from "@daisylock/core/tables/table-edit.js";
import type { ArgumentsCamelCase, Argv, CommandModule } from "yargs";

import { sendEdits } from "../api/send-edits.js";
import { CommandContext } from "../command-context.js";
import { printResult } from "../output/print-result.js";
import type { ObjectCommandDefinition } from "./object-command-definition.js";

const changeOptions = {
    ifRevision: { type: "number", describe: "Revision the object must have; 0 if it must not exist" },
    changeId: { type: "string", describe: "Id of the change, to send it again safely" },
} as const;

/**
 * Builds the commands list, set and remove for one kind of object.
 * @param noun - the kind
 * @returns the command
 */
export function buildObjectCommand(noun: ObjectCommandDefinition): CommandModule {
    return {
        command: noun.kind,
        describe: noun.describe,
        builder: (yargs: Argv) =>
            yargs
                .command("list", `List every ${noun.kind}`, {}, options => runList(noun, options))
                .command(
                    "set <name>",
                    `Add or change a ${noun.kind}`,
                    argv => argv.positional("name", { type: "string" }).options({ ...noun.options, ...changeOptions }),
                    options => runEdit(noun, options, noun.buildValue(options)),
                )
                .command(
                    "remove <name>",
                    `Remove a ${noun.kind}`,
                    argv => argv.positional("name", { type: "string" }).options(changeOptions),
                    options => runEdit(noun, options, undefined),
                )
                .example(`$0 ${noun.example}`, "")
                .demandCommand(1),
        handler: () => undefined,
    };
}

async function runList(noun: ObjectCommandDefinition, options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    const tables = await context.client.sendChecked("GET", "/v1/tables");
    const rows = tables[noun.kind] as Record<string, unknown>[];
    printResult(context.output, { revision: tables["revision"], [noun.kind]: rows }, rows);
}

async function runEdit(noun: ObjectCommandDefinition, options: ArgumentsCamelCase, value: unknown): Promise<void> {
    const context = new CommandContext(options);
    const edit = { kind: noun.kind, name: String(options["name"]), value, ifRevision: options["ifRevision"] };
    const changeId = options["changeId"] as string | undefined;
    printResult(context.output, await sendEdits(context.client, [edit as TableEdit], { changeId }));
}
