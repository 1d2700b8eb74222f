import type { LinearFit } from "./linear-fit.js";
import { measureLeader } from "./measure-leader.js";
import { measureProcesses } from "./measure-processes.js";
import { measureState } from "./measure-state.js";

/** Relative to the repository root, where `npm run slopes` runs this script. */
const daemonFile = "packages/daemon/dist/daisylockd.js";

function printFits(fits: readonly LinearFit[]): void {
    console.log("\n| cost | unit | per | base | slope | measured at |\n| --- | --- | --- | --- | --- | --- |");
    for (const { name, costUnit: unit, sizeUnit: per, intercept: base, slope, sizes } of fits) {
        console.log(
            `| ${name} | ${unit} | ${per} | ${base.toPrecision(3)} | ${slope.toPrecision(3)} | ${sizes.join(", ")} |`,
        );
    }
}

printFits([...measureState(), ...measureLeader()]);
const { roles, fits } = await measureProcesses(daemonFile);
printFits(fits);
console.log("\n| process | role | % of a core | MB | bytes a second across zones |\n| --- | --- | --- | --- | --- |");
for (const { name, role, cpuPercent, memoryMb, bytesPerSecond } of roles) {
    const columns = [cpuPercent.toFixed(1), memoryMb.toFixed(0), bytesPerSecond.toFixed(0)];
    console.log(`| ${name} | ${role} | ${columns.join(" | ")} |`);
}
process.exit(0);
