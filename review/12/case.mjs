import { runCase, sleep, startWorld, submission } from "../standin-3/world.mjs";
import { fileURLToPath } from "node:url";

const TROUBLE = process.env.TROUBLE !== "0";
const ID = "5c0e7a21d94b36f8";
const PATH = `/puxa400/${ID}`;
/** Delay of a write that gets no answer; the pages allow 1 to 6 s. */
const LATE_MS = 5_500;

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

  let lost = 0;
  world.store.setOnAppend((member, query, records) => {
    const isAcceptance = query.get("topic") === "keyed.jobs" &&
      records.some(({ key }) => key === ID);
    if (!TROUBLE || member !== first.name || !isAcceptance) return undefined;
    lost++;
    const part = query.get("part");
    world.record(
      `write of ${member} to partition ${part}: no answer, done in ${LATE_MS} ms`,
    );
    return {
      lateMs: LATE_MS,
      onDone: () => world.record(`late write to partition ${part} is done`),
    };
  });
  const body = submission({ steps: [{ count: 4 }], ms: 8_000 });
  const firstTry = world.call(first, "POST", PATH, body);
  await sleep(1_000);
  world.configure(config(13, []));
  const { status } = await firstTry;
  if (TROUBLE && status !== 504) return undefined;
  world.configure(config(17, [route("huye")]));
  await sleep(500);
  // After a 504, the request arrives again, at any daemon.
  const again = await world.call(second, "POST", PATH, body);
  if (again.status !== 200) return undefined;
  await sleep(14_000);
  await world.call(first, "GET", PATH);
  world.record(`${lost} writes got no answer`);

  // TWICE: two runs of one work item at the same time, on executors that are up.
  const open = new Map();
  let isBroken = false;
  for (const { type, task, executor, run, atMs } of world.runs) {
    if (!task.startsWith(ID)) continue;
    if (type === "started") {
      const others = open.get(task) ?? new Map();
      if (others.size > 0) {
        isBroken = true;
        world.record(
          `TWICE: ${task} runs on ${[...others.values()].join(" ")} and, from ${
            (atMs / 1_000).toFixed(3)
          } on, on ${executor}`,
        );
      }
      others.set(`${executor}/${run}`, executor);
      open.set(task, others);
    } else open.get(task)?.delete(`${executor}/${run}`);
  }
  const started = new Set(
    world.runs.filter(({ task }) => task.startsWith(ID)).map(({ task }) =>
      task
    ),
  );
  if (started.size < 4) return undefined;
  world.record(isBroken ? "the rule was broken" : "the rule held");
  return isBroken;
});
