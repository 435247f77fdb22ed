import { build } from "esbuild";
import { readFileSync } from "node:fs";

const PACKAGES = new URL("../packages/", import.meta.url);

/** Entry points of the two binaries and of the private programs. */
const ENTRY_POINTS = {
  lagoonloomd: "daemon/main.ts",
  lagoonloom: "cli/main.ts",
  standins: "standins/main.ts",
  measure: "measure/main.ts",
  bench: "measure/bench/main.ts",
  demo: "measure/demo/main.ts",
  fuzz: "measure/fuzz/main.ts",
};

/** Bundles the workspace packages; registry packages stay external. */
async function main() {
  const manifest = JSON.parse(
    readFileSync(new URL("../package.json", import.meta.url), "utf8"),
  );
  const entryPoints = {};
  for (const [name, path] of Object.entries(ENTRY_POINTS)) {
    entryPoints[name] = new URL(path, PACKAGES).pathname;
  }
  await build({
    entryPoints,
    outdir: new URL("../dist", import.meta.url).pathname,
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    sourcemap: true,
    banner: { js: "#!/usr/bin/env node" },
    external: Object.keys(manifest.dependencies).flatMap((name) => [
      name,
      `${name}/*`,
    ]),
    logLevel: "warning",
  });
}

await main();
