import { build } from "esbuild";

const ROOT = new URL("../", import.meta.url);

/** Bundles the daemon with its libraries, so that it starts from one file. */
async function main() {
  await build({
    entryPoints: { lagoonloomd: new URL("platform/main.ts", ROOT).pathname },
    outdir: new URL("target", ROOT).pathname,
    bundle: true,
    platform: "node",
    // The package is of modules, and some libraries are CommonJS.
    format: "cjs",
    outExtension: { ".js": ".cjs" },
    target: "node20",
    minify: false,
    logLevel: "warning",
  });
}

await main();
