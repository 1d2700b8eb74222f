import { startForwarder } from "@daisylock/bench/forwarder/start-forwarder.js";
import { StandInTarget } from "@daisylock/bench/targets/stand-in-target.js";
import { TargetFault } from "@daisylock/bench/targets/target-fault.js";
import type { ArgumentsCamelCase, Argv, CommandModule } from "yargs";

const announceMs = 1_000;

const targetOptions = {
    vm: { type: "string", demandOption: true, describe: "Name of the VM" },
    address: { type: "string", demandOption: true, describe: "Where it takes requests" },
    announceTo: { type: "array", string: true, demandOption: true, describe: "Target listeners of entries" },
    targetToken: { type: "string", demandOption: true, describe: "The targets' token" },
    slots: { type: "number", default: 8 },
    serviceMs: { type: "number", default: 5, describe: "Time that a request takes" },
    fault: { choices: Object.values(TargetFault), default: TargetFault.None },
} as const;

/** Stand-ins and experiments. */
export const benchCommand: CommandModule = {
    command: "bench",
    describe: "Run stand-ins and experiments",
    builder: (yargs: Argv) =>
        yargs
            .command("target", "Run a stand-in target", targetOptions, runTarget)
            .command(
                "forwarder",
                "Run the bare forwarder that the product is compared with",
                {
                    port: { type: "number", demandOption: true },
                    targets: { type: "array", string: true, demandOption: true },
                },
                options => {
                    startForwarder(Number(options["port"]), options["targets"]);
                },
            )
            .demandCommand(1),
    handler: () => undefined,
};

async function runTarget(options: ArgumentsCamelCase): Promise<void> {
    const target = new StandInTarget({
        vm: String(options["vm"]),
        address: String(options["address"]),
        announceTo: options["announceTo"] as string[],
        token: String(options["targetToken"]),
        slots: Number(options["slots"]),
        pickServiceMs: () => Number(options["serviceMs"]),
        announceMs,
    });
    target.setFault(options["fault"] as TargetFault);
    await target.start();
    process.once("SIGTERM", () => {
        target.stopGracefully().then(() => process.exit(0), () => process.exit(1));
    });
}
