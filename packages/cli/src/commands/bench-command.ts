import { measureControlPlane } from "@daisylock/bench/control-plane/measure-control-plane.js";
import { startForwarder } from "@daisylock/bench/forwarder/start-forwarder.js";
import { measureRequestPath } from "@daisylock/bench/request-path/measure-request-path.js";
import { buildScenarioPage } from "@daisylock/bench/scenario/build-scenario-page.js";
import { loadScenario } from "@daisylock/bench/scenario/load-scenario.js";
import { runScenario } from "@daisylock/bench/scenario/run-scenario.js";
import type { ScenarioResult } from "@daisylock/bench/scenario/scenario-result.js";
import { FakeTarget } from "@daisylock/bench/targets/fake-target.js";
import { TargetFault } from "@daisylock/bench/targets/target-fault.js";
import { compareWavePolicies } from "@daisylock/bench/waves/compare-wave-policies.js";
import { QueuePolicy } from "@daisylock/core/admission/queue-policy.js";
import { writeFileSync } from "node:fs";
import type { ArgumentsCamelCase, Argv, CommandModule } from "yargs";
import { ExitCode } from "../exit-code.js";
import type { OutputFormat } from "../output/output-format.js";
import { printResult } from "../output/print-result.js";

/** Interval at which the fake target announces itself, milliseconds. */
const announceMs = 1_000;

const targetOptions = {
    vm: { type: "string", demandOption: true, describe: "Name of the VM" },
    address: { type: "string", demandOption: true, describe: "IP address and port for requests" },
    announceTo: { type: "array", string: true, demandOption: true, describe: "Target listeners of the entries" },
    targetToken: { type: "string", demandOption: true, describe: "Token of the targets" },
    slots: { type: "number", default: 8 },
    serviceMs: { type: "number", default: 5, describe: "Service time of a request, milliseconds" },
    fault: { choices: Object.values(TargetFault), default: TargetFault.None },
} as const;

/** Runs fake targets and benchmarks. */
export const benchCommand: CommandModule = {
    command: "bench",
    describe: "Run fake targets and benchmarks",
    builder: (yargs: Argv) =>
        yargs
            .command("target", "Run a fake target", targetOptions, runFakeTarget)
            .command(
                "run <scenario>",
                "Run a scenario with real processes on this machine, once for each of its policies",
                argv =>
                    argv.positional("scenario", { type: "string" })
                        .option("daemon", { type: "string", default: "packages/daemon/dist/daisylockd.js" })
                        .option("page", { type: "string", describe: "File for a report with plots (HTML)" }),
                runScenarioFile,
            )
            .command(
                "control",
                "Measure table changes with real processes on this machine",
                { daemon: { type: "string", default: "packages/daemon/dist/daisylockd.js" } },
                async options => {
                    for (const keepers of [3, 5] as const) {
                        const result = await measureControlPlane(keepers, String(options["daemon"]));
                        process.stdout.write(`${JSON.stringify(result)}\n`);
                    }
                    process.exit(ExitCode.Done);
                },
            )
            .command(
                "waves",
                "Compare the wave planner with baseline policies in simulations of generated fleets",
                { seeds: { type: "number", default: 3 } },
                options => {
                    const seeds = Array.from({ length: Number(options["seeds"]) }, (_unused, number) => number + 1);
                    const rows = compareWavePolicies(seeds).map(row => ({ ...row }));
                    printResult(options["output"] as OutputFormat, { rows }, rows);
                },
            )
            .command(
                "path",
                "Measure the request path in comparison with a minimal forwarder",
                {
                    daemon: { type: "string", default: "packages/daemon/dist/daisylockd.js" },
                    cli: { type: "string", default: "packages/cli/dist/daisylock.js" },
                },
                async options => {
                    const result = await measureRequestPath(String(options["daemon"]), String(options["cli"]));
                    process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
                    process.exit(ExitCode.Done);
                },
            )
            .command(
                "forwarder",
                "Run the minimal forwarder that serves as the baseline for the request path",
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

async function runScenarioFile(options: ArgumentsCamelCase): Promise<void> {
    const scenario = loadScenario(String(options["scenario"]));
    const results: ScenarioResult[] = [];
    for (const policy of scenario.policies) {
        results.push(await runScenario(scenario, policy, String(options["daemon"])));
    }
    const rows = results.map(({ series, ...summary }) => summary);
    process.stdout.write(`${JSON.stringify(rows, undefined, 2)}\n`);
    if (typeof options["page"] === "string") {
        writeFileSync(options["page"], buildScenarioPage(results));
    }
    // Baseline policies may violate guarantees. A violation under the shares policy, the default of the daemon, fails the
    // run.
    const violations = results.filter(({ policy }) => policy.queue === QueuePolicy.Shares).flatMap(result =>
        result.faults
    );
    process.exit(violations.length > 0 ? ExitCode.Refused : ExitCode.Done);
}

async function runFakeTarget(options: ArgumentsCamelCase): Promise<void> {
    const target = new FakeTarget({
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
