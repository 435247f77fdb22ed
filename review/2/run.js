// A submission that runs many times. Its progress is one record of the store,
// which grows with each time that has run.

import {
  BROKEN,
  hasTrouble,
  HELD,
  NOT_RUN,
  pause,
  runCase,
  startDeployment,
} from "../standin/deployment.js";
import {
  configOf,
  createFleet,
  createId,
  ROUTE,
} from "../standin/small_site.js";

/** Times that the submission runs: each minute for two weeks, or for a day. */
const TIMES = hasTrouble() ? 20_160 : 1_440;
/** Interval between two times, in place of a minute. */
const INTERVAL_MS = 1;
const WORK_MS = 20;
const SEND_EVERY_MS = 2_000;
const LENGTH_MS = 90_000;
/** Time in which a small submission has to be done on the idle executors. */
const FINISH_MS = 14_000;

await runCase(async () => {
  const submissions = new Map();
  const deployment = await startDeployment({
    folder: new URL(".", import.meta.url).pathname,
    config: configOf(1),
  });
  try {
    if (!deployment.isReady) return { verdict: NOT_RUN, reason: "not ready" };
    return await play(deployment, submissions);
  } finally {
    await deployment.close();
  }
});

async function play(deployment, submissions) {
  const { daemons } = deployment;
  const often = createId();
  const started = new Set();
  const ended = new Set();
  const fleet = createFleet(deployment, {
    submissions,
    workOf: () => ({ ms: WORK_MS }),
    record(what, details) {
      const { task = "" } = details;
      if (what === "start") started.add(task);
      if (what === "end") ended.add(task);
      // One in a hundred times of the long submission is written down.
      const time = Number(task.split(".")[1]);
      if (task.startsWith(often) && time % 100 !== 0) return;
      deployment.record(what, details);
    },
  });
  for (let index = 1; index <= 8; index++) await fleet.add(index);
  await pause(2_000);

  const sent = [];
  const submit = async (id, json) => {
    submissions.set(id, json);
    const answer = await deployment.call({
      daemon: daemons[0],
      method: "POST",
      route: ROUTE,
      id,
      json,
    });
    sent.push({ id, atMs: deployment.nowMs(), status: answer?.status });
  };
  await submit(often, {
    spec: "work",
    steps: [{ count: 1, cpu: 100, memMb: 50, estimateMs: WORK_MS }],
    firstRunMs: Date.now(),
    intervalMs: INTERVAL_MS,
    repeatCount: TIMES,
  });
  const endMs = deployment.nowMs() + LENGTH_MS;
  while (deployment.nowMs() < endMs) {
    void submit(createId(), {
      spec: "work",
      steps: [{ count: 1, cpu: 100, memMb: 50, estimateMs: WORK_MS }],
    });
    await pause(SEND_EVERY_MS);
  }
  const due = sent.filter(({ id, atMs, status }) =>
    id !== often && status === 200 && atMs < deployment.nowMs() - FINISH_MS
  );
  const waiting = due.filter(({ id }) => !started.has(`${id}.0.0.0`));
  const times = [...ended].filter((task) => task.startsWith(often)).length;
  const reason = `${times} of ${TIMES} times have run; ${waiting.length} of ` +
    `${due.length} other accepted submissions have not begun after ` +
    `${FINISH_MS / 1_000} s or more, and nothing else is at work`;
  return { verdict: waiting.length > 0 ? BROKEN : HELD, reason };
}
