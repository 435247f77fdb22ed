// Bundles the daemon of the platform deployment into target/lagoonloomd.cjs.
import { build } from "esbuild";

const ROOT = new URL("../", import.meta.url);

/** Bundles the daemon with its dependencies, so that it runs from one file. */
async function main() {
  await build({
    entryPoints: { lagoonloomd: new URL("platform/main.ts", ROOT).pathname },
    outdir: new URL("target", ROOT).pathname,
    bundle: true,
    platform: "node",
    // Some dependencies are CommonJS modules that call require(), which an ES
    // module does not have. The extension overrides the package's type.
    format: "cjs",
    outExtension: { ".js": ".cjs" },
    target: "node20",
    minify: false,
    logLevel: "warning",
  });
}

await main();
