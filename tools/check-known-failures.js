// Succeeds when every failed test of a Jest report is listed in KNOWN-RED.txt by its file and full name.
import { readFileSync } from "node:fs";
import { relative } from "node:path";

const [reportFile] = process.argv.slice(2);
const report = JSON.parse(readFileSync(reportFile, "utf8"));
const known = new Set(
    [...readFileSync("KNOWN-RED.txt", "utf8").matchAll(/^(\S+), "(.+)"/gm)].map(([, file, name]) => `${file}, ${name}`),
);

const unlisted = report.testResults.flatMap(({ name: path, status, assertionResults }) => {
    const file = relative(process.cwd(), path);
    const failed = assertionResults.filter(result => result.status === "failed").map(result => result.fullName);
    // A suite that failed without a failed test could not be run.
    const failures = status === "failed" && failed.length === 0 ? ["(whole file)"] : failed;
    return failures.map(name => `${file}, ${name}`).filter(failure => !known.has(failure));
});

if (unlisted.length > 0) {
    console.error(`Failures that KNOWN-RED.txt does not list:\n${unlisted.join("\n")}`);
    process.exit(1);
}
