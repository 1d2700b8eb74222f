import { measureLeader } from "./measure-leader.js";
import { measureProcesses } from "./measure-processes.js";
import { measureState } from "./measure-state.js";
import type { Slope } from "./slope.js";

const daemonFile = "packages/daemon/dist/daisylockd.js";

function printSlopes(slopes: readonly Slope[]): void {
    console.log("\n| cost | unit | per | base | slope | measured at |\n| --- | --- | --- | --- | --- | --- |");
    for (const { name, unit, per, base, slope, sizes } of slopes) {
        console.log(
            `| ${name} | ${unit} | ${per} | ${base.toPrecision(3)} | ${slope.toPrecision(3)} | ${sizes.join(", ")} |`,
        );
    }
}

printSlopes([...measureState(), ...measureLeader()]);
const { roles, slopes } = await measureProcesses(daemonFile);
printSlopes(slopes);
console.log("\n| process | role | % of a core | MB | bytes a second across zones |\n| --- | --- | --- | --- | --- |");
for (const { name, role, processorPercent, memoryMb, bytesPerSecond } of roles) {
    const figures = [processorPercent.toFixed(1), memoryMb.toFixed(0), bytesPerSecond.toFixed(0)];
    console.log(`| ${name} | ${role} | ${figures.join(" | ")} |`);
}
process.exit(0);
