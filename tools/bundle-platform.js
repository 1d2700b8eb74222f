// Bundles the program of the platform adapter into one file under target/ that runs without node_modules.
import { build } from "esbuild";

const banner =
    "import { createRequire as makeRequire } from \"node:module\"; const require = makeRequire(import.meta.url);";

await build({
    entryPoints: ["platform/dist/main.js"],
    outfile: "target/daisylock.js",
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    minify: true,
    keepNames: true,
    banner: { js: banner },
    logLevel: "warning",
});
