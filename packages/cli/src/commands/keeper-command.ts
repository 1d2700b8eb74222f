import { KeeperAction } from "@daisylock/protocol/operator/keeper-action.js";
import type { ArgumentsCamelCase, Argv, CommandModule } from "yargs";

import { CommandContext } from "../command-context.js";
import { CommandFailure } from "../command-failure.js";
import { ExitCode } from "../exit-code.js";
import { printResult } from "../output/print-result.js";

/** A keeper as the API lists it. */
interface KeeperRow extends Record<string, unknown> {
    readonly id: string;
    readonly address: string;
    /** Membership: `voter` or `learner`. */
    readonly part: string;
}

const pollIntervalMs = 300;
const maxPolls = 200;

/** Lists keepers and changes their membership. */
export const keeperCommand: CommandModule = {
    command: "keeper",
    describe: "Manage keepers, the replicas of the control plane",
    builder: (yargs: Argv) =>
        yargs
            .command("list", "List the keepers and their replication progress", {}, runList)
            .command(
                "bootstrap",
                "Bootstrap a new cluster with the addressed process as its first keeper; works once",
                {},
                runBootstrap,
            )
            .command("add <address>", "Add a keeper and wait until it has caught up and votes", {}, runAdd)
            .command("replace <id> <address>", "Add a keeper, wait until it votes, then remove another", {}, runReplace)
            .command("remove <id>", "Remove a keeper", {}, runRemove)
            .demandCommand(1),
    handler: () => undefined,
};

async function runList(options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    printKeepers(context, await readKeepers(context));
}

async function runBootstrap(options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    const body = { action: KeeperAction.Bootstrap };
    printResult(context.output, await context.client.sendChecked("POST", "/v1/keepers", body));
}

async function runAdd(options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    printKeepers(context, await addVoter(context, String(options["address"])));
}

async function runReplace(options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    await addVoter(context, String(options["address"]));
    printKeepers(context, await removeKeeper(context, String(options["id"])));
}

async function runRemove(options: ArgumentsCamelCase): Promise<void> {
    const context = new CommandContext(options);
    printKeepers(context, await removeKeeper(context, String(options["id"])));
}

async function readKeepers(context: CommandContext): Promise<KeeperRow[]> {
    return (await context.client.sendChecked("GET", "/v1/keepers"))["keepers"] as KeeperRow[];
}

async function addVoter(context: CommandContext, address: string): Promise<KeeperRow[]> {
    for (let poll = 0; poll < maxPolls; poll++) {
        const keepers = await sendKeeperAction(context, { action: KeeperAction.Add, address });
        if (keepers?.some(keeper => keeper.address === address && keeper.part === "voter") === true) {
            return keepers;
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
    throw new CommandFailure(ExitCode.Refused, `${address} is not a voter yet; run the command again`);
}

async function removeKeeper(context: CommandContext, id: string): Promise<KeeperRow[]> {
    for (let poll = 0; poll < maxPolls; poll++) {
        const keepers = await sendKeeperAction(context, { action: KeeperAction.Remove, id });
        if (keepers !== undefined && !keepers.some(keeper => keeper.id === id)) {
            return keepers;
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
    throw new CommandFailure(ExitCode.Refused, `${id} is not removed yet; run the command again`);
}

/** Returns `undefined` while another membership change is pending or the leader cannot be reached. */
async function sendKeeperAction(context: CommandContext, body: object): Promise<KeeperRow[] | undefined> {
    const response = await context.client.send("POST", "/v1/keepers", body);
    const isTemporary = response.status === 503 || response.status === 502
        || response.body["type"] === "change-pending";
    if (response.status === 200) {
        return response.body["keepers"] as KeeperRow[];
    }
    if (isTemporary) {
        return undefined;
    }
    throw new CommandFailure(ExitCode.Refused, `refused (${response.status}): ${String(response.body["type"])}`);
}

function printKeepers(context: CommandContext, keepers: KeeperRow[]): void {
    printResult(context.output, { keepers }, keepers);
}
