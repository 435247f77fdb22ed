// Bundles each program of the packages into a file of dist/.
import { build } from "esbuild";
import { readFileSync } from "node:fs";

const PACKAGES = new URL("../packages/", import.meta.url);

/** Entry points of the two released programs and of the development tools. */
const ENTRY_POINTS = {
  lagoonloomd: "daemon/main.ts",
  lagoonloom: "cli/main.ts",
  standins: "standins/main.ts",
  measure: "measure/main.ts",
  bench: "measure/bench/main.ts",
  demo: "measure/demo/main.ts",
  fuzz: "measure/fuzz/main.ts",
};

/**
 * Options of Node.js for the daemon. By default, the young generation of the
 * heap grows to 32 MB at any load, a quarter of the daemon's memory limit.
 */
const DAEMON_OPTIONS = "--max-semi-space-size=4";

/** Bundles the packages of this workspace; dependencies stay external. */
async function main() {
  const manifest = JSON.parse(
    readFileSync(new URL("../package.json", import.meta.url), "utf8"),
  );
  for (const [name, path] of Object.entries(ENTRY_POINTS)) {
    await bundle(manifest, { name, path });
  }
}

async function bundle(manifest, { name, path }) {
  const interpreter = name === "lagoonloomd"
    ? `#!/usr/bin/env -S node ${DAEMON_OPTIONS}`
    : "#!/usr/bin/env node";
  await build({
    entryPoints: { [name]: new URL(path, PACKAGES).pathname },
    outdir: new URL("../dist", import.meta.url).pathname,
    bundle: true,
    platform: "node",
    format: "esm",
    target: "node20",
    sourcemap: true,
    banner: { js: interpreter },
    external: Object.keys(manifest.dependencies).flatMap((name) => [
      name,
      `${name}/*`,
    ]),
    logLevel: "warning",
  });
}

await main();
