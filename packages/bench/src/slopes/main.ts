import type { LinearFit } from "./linear-fit.js";
import { measureLeader } from "./measure-leader.js";
import { measureProcesses } from "./measure-processes.js";
import { measureState } from "./measure-state.js";

const daemonFile = "packages/daemon/dist/daisylockd.js";

function printFits(slopes: readonly LinearFit[]): void {
    console.log("\n| cost | unit | per | base | slope | measured at |\n| --- | --- | --- | --- | --- | --- |");
    for (const { name, costUnit: unit, sizeUnit: per, intercept: base, slope, sizes } of slopes) {
        console.log(
            `| ${name} | ${unit} | ${per} | ${base.toPrecision(3)} | ${slope.toPrecision(3)} | ${sizes.join(", ")} |`,
        );
    }
}

printFits([...measureState(), ...measureLeader()]);
const { roles, slopes } = await measureProcesses(daemonFile);
printFits(slopes);
console.log("\n| process | role | % of a core | MB | bytes a second across zones |\n| --- | --- | --- | --- | --- |");
for (const { name, role, cpuPercent: processorPercent, memoryMb, bytesPerSecond } of roles) {
    const figures = [processorPercent.toFixed(1), memoryMb.toFixed(0), bytesPerSecond.toFixed(0)];
    console.log(`| ${name} | ${role} | ${figures.join(" | ")} |`);
}
process.exit(0);
