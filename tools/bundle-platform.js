// Bundles the platform's program into one file under target/, which loads without node_modules.
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
