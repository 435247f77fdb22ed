// Stand-in of an executor (worker), after the users' page on work items.
import { startHttp } from "./http.mjs";

let boots = 0;

/**
 * Starts an executor. `durationOf(task)` returns the work of a work item in
 * milliseconds, or Infinity for one that lasts. `onStart` and `onEnd` are told
 * of each run. It writes to the store every `heartbeatMs`.
 */
export async function startExecutor(options) {
  const {
    store,
    service,
    zone,
    bounds,
    heartbeatMs,
    durationOf,
    onStart,
    onEnd,
  } = options;
  const capacity = options.capacity ?? { cpu: 16_000, memMb: 32_768, gpu: 0 };
  let labels = options.labels;
  let life;
  let server;
  let address = options.address;
  let seq = 0;
  let beatTimer;
  /** Time until which it writes nothing to the store after a start. */
  let quietUntilMs = 0;
  const id = options.id;

  const boot = () => {
    boots++;
    life = {
      number: boots,
      id,
      born: Date.now(),
      startedMs: performance.now(),
      token: 0,
      leaseMs: 0,
      running: new Map(),
      ended: [],
      lastEnd: 0,
      highest: new Map(),
      waiters: new Set(),
      isUp: true,
      isDraining: false,
    };
  };
  const clockOf = (it) =>
    Math.floor(100_000 + performance.now() - it.startedMs);

  const beat = () => {
    if (!life?.isUp || performance.now() < quietUntilMs) return;
    seq++;
    store.write("servers", life.id, {
      service,
      address,
      zone,
      version: "v1",
      slots: 8,
      state: life.isDraining ? "draining" : "ready",
      coldRemainingMs: 0,
      capacity,
      labels,
      clockMs: clockOf(life),
      seq,
      born: life.born,
    });
  };

  const end = (it, entry, how) => {
    const { task, run } = entry;
    if (it.running.get(task) !== entry) return;
    clearTimeout(entry.timer);
    it.running.delete(task);
    it.highest.set(task, Math.max(run, it.highest.get(task) ?? 0));
    it.ended.push([++it.lastEnd, task, run, how, ""]);
    onEnd?.({ executor: it.id, service, task, run, how });
    entry.gang?.leave(entry, how);
    for (const wake of [...it.waiters]) wake();
  };

  const checkLease = (it) => {
    if (it.running.size === 0 || clockOf(it) < it.leaseMs) return;
    for (const entry of [...it.running.values()]) end(it, entry, "lapsed");
  };
  const leaseTimer = setInterval(() => life?.isUp && checkLease(life), 20);

  const takeLease = (it, untilMs) => {
    if (untilMs === undefined) return;
    const until = Math.min(untilMs, clockOf(it) + bounds.holdMaxMs);
    if (until > it.leaseMs) it.leaseMs = until;
  };

  const used = (it) => {
    let cpu = 0;
    let memMb = 0;
    for (const { size } of it.running.values()) {
      cpu += size.cpu;
      memMb += size.memMb;
    }
    return { cpu, memMb };
  };

  const start = (it, { task, run, spec, untilMs, fencingToken }) => {
    const refuse = (reason) => [409, { clockMs: clockOf(it), reason }];
    const existing = it.running.get(task);
    if (existing?.run === run) {
      takeLease(it, untilMs);
      return [200, { clockMs: clockOf(it) }];
    }
    if (run <= (it.highest.get(task) ?? 0) || existing !== undefined) {
      takeLease(it, untilMs);
      return refuse("old");
    }
    if (untilMs <= clockOf(it)) return refuse("late");
    const size = options.sizeOf(task);
    const { cpu, memMb } = used(it);
    if (
      options.guards !== false &&
      (cpu + size.cpu > capacity.cpu || memMb + size.memMb > capacity.memMb)
    ) {
      takeLease(it, untilMs);
      return refuse("room");
    }
    takeLease(it, untilMs);
    const entry = {
      task,
      run,
      size,
      startedMs: performance.now(),
      workMs: durationOf(task),
      isStopping: false,
    };
    it.running.set(task, entry);
    entry.finish = (how) => end(it, entry, how);
    entry.gang = options.gangOf?.(task, run);
    if (entry.gang !== undefined) {
      entry.timer = setTimeout(
        () => end(it, entry, "alone"),
        bounds.gangWaitMs,
      );
      setImmediate(() => entry.gang.join(entry, labels[1]));
    } else if (entry.workMs !== Infinity) {
      entry.timer = setTimeout(
        () => end(it, entry, options.fails?.(task, run) ? "failed" : "done"),
        entry.workMs,
      );
    }
    onStart({
      used: { cpu: cpu + size.cpu, memMb: memMb + size.memMb },
      capacity,
      executor: it.id,
      service,
      address,
      labels,
      task,
      run,
      spec,
      token: fencingToken,
      boot: it.number,
    });
    return [200, { clockMs: clockOf(it) }];
  };

  const stop = (it, { task, run }) => {
    const entry = it.running.get(task);
    it.highest.set(task, Math.max(run, it.highest.get(task) ?? 0));
    if (entry !== undefined && entry.run <= run && !entry.isStopping) {
      entry.isStopping = true;
      setTimeout(() => end(it, entry, "stopped"), bounds.stopMs / 4);
    }
    return [200, { clockMs: clockOf(it) }];
  };

  const percentOf = ({ startedMs, workMs }) => {
    const ranMs = performance.now() - startedMs;
    return Math.min(
      100,
      Math.floor(100 * ranMs / (workMs === Infinity ? 500 : workMs)),
    );
  };

  const hold = async (it, { untilMs, lastSeen, waitMs = 0 }) => {
    takeLease(it, untilMs);
    for (const row of it.ended) {
      if (row[0] <= lastSeen) {
        options.onNoted?.({
          executor: it.id,
          task: row[1],
          run: row[2],
          how: row[3],
        });
      }
    }
    it.ended = it.ended.filter(([number]) => number > lastSeen);
    if (waitMs > 0 && it.ended.length === 0) {
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          it.waiters.delete(done);
          resolve();
        };
        const timer = setTimeout(done, Math.min(2_000, waitMs));
        it.waiters.add(done);
      });
    }
    return [200, {
      clockMs: clockOf(it),
      born: it.born,
      running: [...it.running.values()].map((
        entry,
      ) => [entry.task, entry.run, "", percentOf(entry), entry.size.cpu]),
      finished: it.ended.slice(0, 500),
    }];
  };

  const handle = async ({ path, headers, body }) => {
    const it = life;
    if (path === "/health") return [200, {}];
    const expected = headers["x-expected-instance"];
    if (expected !== undefined && expected !== it.id) return [421, {}];
    const json = JSON.parse(body.toString());
    checkLease(it);
    if ((json.fencingToken ?? 0) < it.token) {
      return [409, { clockMs: clockOf(it), reason: "fence" }];
    }
    it.token = json.fencingToken ?? 0;
    if (path === "run-start") return start(it, json);
    if (path === "run-stop") return stop(it, json);
    if (path === "pace") return [200, { clockMs: clockOf(it) }];
    if (path === "hold") {
      const reply = await hold(it, json);
      return it.isUp ? reply : undefined;
    }
    return [404, {}];
  };

  const up = async () => {
    boot();
    server = await startHttp(address, handle, options.disturb);
    address = server.address;
  };
  await up();
  beat();
  beatTimer = setInterval(beat, heartbeatMs);

  return {
    id,
    service,
    address: () => address,
    get labels() {
      return labels;
    },
    running: () =>
      [...life.running.values()].map(({ task, run }) => ({ task, run })),
    isUp: () => life.isUp,
    isRunning: (task, run) => life.isUp && life.running.get(task)?.run === run,
    freeCpu: () => life.isUp ? capacity.cpu - used(life).cpu : 0,
    /** Crashes: all that runs is gone, and calls are refused until it is back. */
    crash() {
      life.isUp = false;
      for (const entry of life.running.values()) {
        clearTimeout(entry.timer);
        onEnd?.({
          executor: life.id,
          service,
          task: entry.task,
          run: entry.run,
          how: "lost with its executor",
        });
        entry.gang?.leave(entry, "lost");
      }
      life.running.clear();
      server.close();
      // The store drops an entry after three intervals of silence.
      const crashed = life;
      setTimeout(() => {
        if (life === crashed) store.write("servers", id, undefined);
      }, 3 * heartbeatMs).unref();
    },
    /** Starts again under its id, as a process that knows nothing of before. */
    async restart(changes = {}) {
      if (changes.labels !== undefined) labels = changes.labels;
      await up();
      const { beatAfterMs = 0 } = changes;
      quietUntilMs = performance.now() + beatAfterMs;
      setTimeout(beat, beatAfterMs + 1);
    },
    close() {
      clearInterval(beatTimer);
      clearInterval(leaseTimer);
      life.isUp = false;
      for (const entry of life.running.values()) clearTimeout(entry.timer);
      server.close();
    },
  };
}
