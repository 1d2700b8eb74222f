// Plays the regression set of docs/MEASUREMENTS.md and compares it with the last committed plays.
// Arguments: path of the program that plays deployments, folder of the site files.
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

import { comparePlays, parseRegressionSet } from "./compare-plays.js";

const [program, folder] = process.argv.slice(2);
if (program === undefined || folder === undefined) {
    console.error("usage: npm run regression -- PROGRAM FOLDER");
    process.exit(2);
}
const listEntries = () => readdirSync("journal").filter(name => name.endsWith(".json"));
const rows = parseRegressionSet(readFileSync("docs/MEASUREMENTS.md", "utf8"));
const faults = [];
for (const site of new Set(rows.map(row => row.site))) {
    const before = new Set(listEntries());
    const args = ["score", join(folder, site), "--quick", "--jobs", "2", "--why", "regression"];
    const { status, error } = spawnSync(program, args, { stdio: "inherit" });
    const entry = listEntries().find(name => !before.has(name));
    if (error !== undefined || entry === undefined) {
        faults.push(`${site}: not played (${error?.message ?? `exit code ${status}`})`);
        continue;
    }
    const { days } = JSON.parse(readFileSync(join("journal", entry), "utf8"));
    const result = comparePlays(rows.filter(row => row.site === site), days ?? []);
    result.lines.forEach(line => console.log(line));
    faults.push(...result.faults);
}
faults.forEach(fault => console.error(fault));
process.exit(faults.length > 0 || rows.length === 0 ? 1 : 0);
