/** Largest difference of the worth of two plays of a day that counts as noise. */
const maxLoss = 0.03;

/**
 * Reads the rows of the regression set: site file, day, worth and served share of the last committed play.
 * @param page - text of docs/MEASUREMENTS.md
 * @returns the rows in the order of the page
 */
export function parseRegressionSet(page) {
    const section = page.split("### Regression set")[1]?.split("\n#")[0] ?? "";
    return [...section.matchAll(/^\| (\S+\.toml) \| (\S+) \| (-?[\d.]+) \| ([\d.]+) \|/gm)]
        .map(([, site, day, worth, served]) => ({ site, day, worth: Number(worth), served: Number(served) }));
}

/**
 * Compares the plays of a site with the committed ones.
 * @param rows - rows of the regression set of the site
 * @param days - the days of the newest journal entry of the site
 * @returns a line for each row, and the faults found
 */
export function comparePlays(rows, days) {
    const lines = [];
    const faults = [];
    for (const { site, day, worth, served } of rows) {
        const play = days.find(({ name }) => name === day);
        if (play === undefined) {
            faults.push(`${site} ${day}: not played`);
            continue;
        }
        const broken = Object.keys(play.rules ?? {});
        lines.push(
            `${site} ${day}: worth ${play.G.toFixed(3)} (${worth.toFixed(3)}), served ${play.served.toFixed(3)}`
                + ` (${served.toFixed(3)}), gate ${play.gate ? "passed" : "failed"}, broken rules: ${
                    broken.join(" ") || "none"
                }`,
        );
        if (worth - play.G > maxLoss) {
            faults.push(`${site} ${day}: worth fell by ${(worth - play.G).toFixed(3)}, more than ${maxLoss}`);
        }
        if (!play.gate) {
            faults.push(`${site} ${day}: gate failed`);
        }
        if (broken.length > 0) {
            faults.push(`${site} ${day}: broken rules ${broken.join(" ")}`);
        }
    }
    return { lines, faults };
}
