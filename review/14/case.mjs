import { runCase, sleep, startWorld, submission } from "../standin-3/world.mjs";
import { fileURLToPath } from "node:url";

const TROUBLE = process.env.TROUBLE !== "0";
const ID = "5c0e7a21d94b36f8";
const PATH = `/puxa400/${ID}`;
/** Time for which the store turns the member away (9 s at most). */
const TURNED_AWAY_MS = 8_000;
/** Bounds of the site. */
const CANCEL_MS = 3_000;
const CONTACT_MS = 3_000;

const route = (service) => ({
  name: "r-puxa400",
  host: "pule25.example",
  pathPrefix: "/puxa400/",
  service,
  priority: 0,
  attempts: 4,
  stretch: 1.6,
  targetLatencyMs: 600,
});
const config = (version, routes) => ({
  version,
  routes,
  services: ["kigali", "huye"].map((name) => ({
    name,
    enforcesCapacity: true,
  })),
  limits: {},
});

await runCase(async (use) => {
  const world = await startWorld({
    recordFile: fileURLToPath(new URL("record.txt", import.meta.url)),
    services: { kigali: 3, huye: 3 },
  });
  use(world);
  world.configure(config(10, [route("kigali")]));
  const members = [];
  for (let index = 0; index < 8; index++) {
    members.push(await world.startMember(`edge-${index}`));
  }
  const areReady = await world.until(
    async () => (await Promise.all(members.map(world.isReady))).every(Boolean),
    25_000,
  );
  if (!areReady) return undefined;
  const [first, second] = members;
  // An earlier submission, whose state is asked for at every member.
  const earlier = "00000000000000a1";
  const warm = await world.call(
    first,
    "POST",
    `/puxa400/${earlier}`,
    submission({ steps: [{ count: 1 }], ms: 500 }),
  );
  if (warm.status !== 200) return undefined;
  for (const member of members) {
    const isShown = await world.until(
      async () =>
        (await world.call(member, "GET", `/puxa400/${earlier}`)).status === 200,
      10_000,
    );
    if (!isShown) return undefined;
  }

  if (TROUBLE) {
    second.gate.turnAway(true);
    world.record("the store turns edge-1 away with 503, and serves the others");
  }
  await sleep(500);
  world.configure(config(13, []));
  await sleep(1_000);
  world.configure(config(17, [route("huye")]));
  // More than configApplyMs after the confirmation.
  await sleep(3_000);

  // Twelve steps, one after the other, so that work items start for 24 s.
  const steps = Array.from({ length: 12 }, (_, index) => ({
    count: 2,
    ...(index === 0 ? {} : { dependsOn: [index - 1] }),
  }));
  const accepted = await world.call(
    first,
    "POST",
    PATH,
    submission({ steps, ms: 2_000 }),
  );
  if (accepted.status !== 200) return undefined;
  await sleep(1_000);
  const cancelled = await world.call(second, "DELETE", PATH);
  const cancelledMs = world.nowMs();
  await sleep(TURNED_AWAY_MS - 5_600);
  second.gate.turnAway(false);
  const servedMs = world.nowMs();
  if (TROUBLE) world.record("the store serves edge-1 again");
  await sleep(13_000);
  await world.call(first, "GET", PATH);
  if (cancelled.status !== 200 && cancelled.status !== 410) return undefined;

  // UNASKED: a machine in touch starts a work item later than cancel_ms after
  // the cancelling was acknowledged. All machines are in touch from contactMs
  // after the end of the disruption on.
  const fromMs = Math.max(cancelledMs + CANCEL_MS, servedMs + CONTACT_MS);
  const late = world.runs.filter(({ type, task, atMs }) =>
    type === "started" && task.startsWith(ID) && atMs > fromMs
  );
  for (const { task, atMs, executor } of late) {
    world.record(
      `UNASKED: ${task} starts on ${executor} at ${
        (atMs / 1_000).toFixed(3)
      }, ${
        Math.round(atMs - cancelledMs)
      } ms after the cancelling was acknowledged`,
    );
  }
  const isBroken = late.length > 0;
  world.record(isBroken ? "the rule was broken" : "the rule held");
  return isBroken;
});
