import { runCase, sleep, startWorld, submission } from "../standin-3/world.mjs";
import { fileURLToPath } from "node:url";

const TROUBLE = process.env.TROUBLE !== "0";
const ID = "5c0e7a21d94b36f8";
const PATH = `/puxa400/${ID}`;
const ATTEMPTS = 4;
const CRASHES = 3;

await runCase(async (use) => {
  const world = await startWorld({
    recordFile: fileURLToPath(new URL("record.txt", import.meta.url)),
    services: { kigali: 9 },
  });
  use(world);
  world.configure({
    version: 10,
    routes: [{
      name: "r-puxa400",
      host: "pule25.example",
      pathPrefix: "/puxa400/",
      service: "kigali",
      priority: 0,
      attempts: ATTEMPTS,
      stretch: 1.6,
      targetLatencyMs: 600,
    }],
    services: [{ name: "kigali", enforcesCapacity: true }],
    limits: {},
  });
  const members = [];
  for (let index = 0; index < 8; index++) {
    members.push(await world.startMember(`edge-${index}`));
  }
  const areReady = await world.until(
    async () => (await Promise.all(members.map(world.isReady))).every(Boolean),
    25_000,
  );
  if (!areReady) return undefined;
  await sleep(3_000);

  const body = submission({ steps: [{ count: 1 }], ms: 2_500, cpu: 4_600 });
  const accepted = await world.call(members[0], "POST", PATH, body);
  if (accepted.status !== 200) return undefined;
  const task = `${ID}.0.0.0`;
  if (TROUBLE) {
    for (let crash = 0; crash < CRASHES; crash++) {
      const startOf = () =>
        world.runs.filter((it) =>
          it.type === "started" && it.task === task
        )[crash];
      if (!await world.until(() => startOf() !== undefined, 15_000)) {
        return undefined;
      }
      const { executor } = startOf();
      await sleep(1_000);
      await world.crashExecutor(executor, 1_000);
    }
  }
  let state;
  await world.until(async () => {
    const shown = await world.call(members[1], "GET", PATH);
    state = shown.body?.state;
    await sleep(950);
    return state === "completed" || state === "failed";
  }, 30_000);
  if (state === undefined) return undefined;
  const failed = world.runs.filter((it) =>
    it.type === "ended" && it.how === "failed"
  ).length;
  world.record(
    `shown as ${state}; work items of the submission have ended failed ${failed} times, attempts is ${ATTEMPTS}`,
  );
  // LOST: shown as `failed` without cause; only ends `failed` count.
  const isBroken = state === "failed" && failed < ATTEMPTS;
  world.record(isBroken ? "the rule was broken" : "the rule held");
  return isBroken;
});
